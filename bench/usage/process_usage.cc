#include "bench/usage/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace rattanweir::bench {
namespace {

// Number of fields in /proc/PID/stat between the process name and the user
// time.
constexpr int kFieldsBeforeUserTime = 11;

std::string
ReadProc(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw std::runtime_error("cannot read " + aPath);
  }
  return text.str();
}

} // namespace

std::chrono::milliseconds
ProcessorTime(int aPid)
{
  const std::string stat = ReadProc("/proc/" + std::to_string(aPid) + "/stat");
  std::istringstream fields(stat.substr(stat.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  long user = 0;
  long system = 0;
  fields >> user >> system;
  constexpr long kMillisecondsPerSecond = 1'000;
  return std::chrono::milliseconds((user + system) * kMillisecondsPerSecond /
                                   sysconf(_SC_CLK_TCK));
}

std::uint64_t
ResidentBytes(int aPid)
{
  std::istringstream fields(
    ReadProc("/proc/" + std::to_string(aPid) + "/statm"));
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  fields >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t
LoopbackBytes()
{
  std::istringstream lines(ReadProc("/proc/net/dev"));
  for (std::string line; std::getline(lines, line);) {
    const std::size_t name = line.find("lo:");
    if (name == std::string::npos) {
      continue;
    }
    return std::stoull(line.substr(name + 3));
  }
  throw std::runtime_error("no loopback interface in /proc/net/dev");
}

} // namespace rattanweir::bench
