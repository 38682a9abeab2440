// Exit codes of rattanweirctl, for scripts.

#pragma once

namespace rattanweir::ctl {

enum class ExitCode
{
  Ok = 0,
  // Faults were found, or the instance's response is negative.
  NegativeResult = 1,
  // The command line is invalid or names a file that cannot be read.
  Usage = 2,
  // No response was received from the instance.
  Unreachable = 3,
};

} // namespace rattanweir::ctl
