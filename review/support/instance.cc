#include "review/support/instance.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{ 20 };
constexpr int kFailedStart = 127;

// Runs in the child process.
[[noreturn]] void
Execute(const std::string& aProgram,
        const std::string& aSettings,
        const std::string& aLog)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
    ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::setenv("RATTANWEIR_NODE_FILE", aSettings.c_str(), 1);
  ::execl(aProgram.c_str(),
          aProgram.c_str(),
          "--settings",
          aSettings.c_str(),
          nullptr);
  ::_exit(kFailedStart);
}

} // namespace

Instance::Instance(InstanceOptions aOptions)
  : m_options(std::move(aOptions))
{
}

Instance::~Instance()
{
  if (IsRunning()) {
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
  }
}

std::string
Instance::SettingsText() const
{
  const InstanceAddresses& addresses = m_options.m_addresses;
  std::string seeds;
  for (const Address& seed : m_options.m_seeds) {
    seeds.append(seeds.empty() ? "\"" : ",\"");
    seeds.append(seed.ToString()).append("\"");
  }
  std::string zones;
  for (const auto& [zone, region] : m_options.m_zones) {
    zones.append("    - id: \"").append(zone).append("\"\n");
    zones.append("      region: \"").append(region).append("\"\n");
  }
  return "instance: \"" + m_options.m_name + "\"\nregion: \"" +
         m_options.m_region + "\"\navailability_zone: \"" + m_options.m_zone +
         "\"\naddresses:\n  caller: \"" + addresses.m_caller.ToString() +
         "\"\n  peer: \"" + addresses.m_peer.ToString() + "\"\n  admin: \"" +
         addresses.m_admin.ToString() + "\"\nfleet:\n  store: \"" +
         m_options.m_store.ToString() + "\"\n  directory_address: \"" +
         addresses.m_directory.ToString() + "\"\n  readiness_address: \"" +
         addresses.m_readiness.ToString() + "\"\n  seeds: [" + seeds +
         "]\n  availability_zones:\n" + zones +
         "  capacity: 0.25\n  retry_ratio: 0.2\n  retry_extra: 56\n"
         "  retry_window_seconds: 10\n  rate_tolerance_tokens: 190000\n"
         "  change_deadline_milliseconds: 3000\n"
         "shutdown_timeout_seconds: 8\nlog:\n  level: info\n"
         "  format: key_value\n";
}

void
Instance::Start()
{
  const std::string settings =
    m_options.m_folder + "/" + m_options.m_name + ".yaml";
  std::ofstream(settings) << SettingsText();
  const std::string log = m_options.m_folder + "/" + m_options.m_name + ".log";
  m_process = ::fork();
  if (m_process == 0) {
    Execute(m_options.m_program, settings, log);
  }
  if (m_process < 0) {
    throw std::runtime_error("cannot start a process");
  }
  m_options.m_record.Write(m_options.m_name + " started");
}

bool
Instance::WaitUntilReady(SteadyTime aDeadline) const
{
  while (SteadyClock::now() < aDeadline) {
    const auto response =
      Get(m_options.m_addresses.m_readiness, "/api/readiness", aDeadline);
    if (response && response->m_status == 200) {
      m_options.m_record.Write(m_options.m_name + " is ready");
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void
Instance::Send(int aSignal) const
{
  ::kill(m_process, aSignal);
  m_options.m_record.Write(m_options.m_name + " gets signal " +
                           std::to_string(aSignal));
}

bool
Instance::IsRunning()
{
  if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) != 0) {
    m_process = -1;
  }
  return m_process > 0;
}

bool
Instance::WaitUntilEnded(SteadyTime aDeadline)
{
  while (IsRunning()) {
    if (SteadyClock::now() >= aDeadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  m_options.m_record.Write(m_options.m_name + " has ended");
  return true;
}

double
Instance::MemoryMb() const
{
  constexpr double kBytesPerMb = 1e6;
  std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

std::optional<Response>
Get(const Address& aAddress, const std::string& aTarget, SteadyTime aDeadline)
{
  Connection connection(Connect(aAddress));
  if (!connection.IsOpen() ||
      !connection.Write("GET " + aTarget + " HTTP/1.1\r\nHost: " +
                        aAddress.ToString() + "\r\n\r\n")) {
    return std::nullopt;
  }
  std::optional<Response> response = connection.ReadResponse(aDeadline);
  return response && response->m_isComplete ? response : std::nullopt;
}

} // namespace review
