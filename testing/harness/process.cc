#include "testing/harness/process.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace rattanweir::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto kPollInterval = 5ms;
constexpr std::size_t kReadBytes = 65'536;

} // namespace

void
WaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kConditionTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("timed out waiting for " + aWhat);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

Process::Process(const ProcessOptions& aOptions)
  : m_name(aOptions.m_path.substr(aOptions.m_path.rfind('/') + 1))
{
  int pipeEnds[2];
  if (::pipe2(pipeEnds, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  std::vector<char*> arguments = { const_cast<char*>(aOptions.m_path.c_str()) };
  for (const std::string& argument : aOptions.m_arguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
  ::posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
  const int failed = ::posix_spawn(&m_pid,
                                   aOptions.m_path.c_str(),
                                   &actions,
                                   nullptr,
                                   arguments.data(),
                                   environ);
  ::posix_spawn_file_actions_destroy(&actions);
  ::close(pipeEnds[1]);
  if (failed != 0) {
    ::close(pipeEnds[0]);
    throw std::runtime_error("cannot start " + aOptions.m_path);
  }
  m_output = pipeEnds[0];
  // The child's end stays blocking, since only this end has the flag.
  ::fcntl(m_output, F_SETFL, O_NONBLOCK);
  m_reader = std::thread([this] { ReadUntilClosed(); });
}

Process::~Process()
{
  if (!m_status) {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
  m_reader.join();
  ::close(m_output);
}

void
Process::ReadUntilClosed()
{
  for (;;) {
    pollfd entry{ .fd = m_output, .events = POLLIN, .revents = 0 };
    ::poll(&entry, 1, -1);
    const std::lock_guard lock(m_mutex);
    ReadAvailable();
    if (m_isClosed) {
      return;
    }
  }
}

void
Process::ReadAvailable() const
{
  std::array<char, kReadBytes> buffer{};
  while (!m_isClosed) {
    const ssize_t count = ::read(m_output, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    if (count <= 0) {
      m_isClosed = true;
      return;
    }
    m_pending.append(buffer.data(), static_cast<std::size_t>(count));
    std::size_t begin = 0;
    for (std::size_t end = 0;
         (end = m_pending.find('\n', begin)) != std::string::npos;
         begin = end + 1) {
      m_lines.push_back(m_pending.substr(begin, end - begin));
    }
    m_pending.erase(0, begin);
  }
}

std::vector<std::string>
Process::Lines() const
{
  const std::lock_guard lock(m_mutex);
  ReadAvailable();
  return m_lines;
}

Json::Value
Process::WaitForRecord(const std::string& aEvent) const
{
  Json::Value found;
  const auto findRecord = [&] {
    const std::lock_guard lock(m_mutex);
    for (const std::string& line : m_lines) {
      if (!line.starts_with("{")) {
        continue;
      }
      const Json::Value record = ParseJson(line);
      if (record["event"] == aEvent) {
        found = record;
        return true;
      }
    }
    return m_isClosed;
  };
  WaitUntil(aEvent + " record of " + m_name, findRecord);
  if (found.isNull()) {
    std::string message = m_name + " closed its output before record " + aEvent;
    for (const std::string& line : Lines()) {
      message += "\n  " + line;
    }
    throw std::runtime_error(message);
  }
  return found;
}

void
Process::Signal(int aSignal) const
{
  if (!m_status) {
    ::kill(m_pid, aSignal);
  }
}

bool
Process::HasEnded()
{
  int status = 0;
  if (!m_status && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  const std::lock_guard lock(m_mutex);
  return m_status.has_value() && m_isClosed;
}

int
Process::WaitForExit()
{
  WaitUntil("the exit of " + m_name, [this] { return HasEnded(); });
  return *m_status;
}

} // namespace rattanweir::testing
