// How rattanweirctl ends, for scripts.

#pragma once

namespace rattanweir::ctl {

enum class ExitCode
{
  Ok = 0,
  // Faults were found, or the instance's answer is no.
  NegativeResult = 1,
  // The command line is wrong or names a file that cannot be read.
  Usage = 2,
  // No answer came from the instance.
  Unreachable = 3,
};

} // namespace rattanweir::ctl
