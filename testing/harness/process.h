// Runs a program of this project as a child process of a test.
//
//   Process engine({ .m_path = kEngine, .m_arguments = { "--port", "0" } });
//   const Json::Value record = engine.WaitForRecord("listening");
//   engine.Signal(SIGTERM);
//   CHECK(engine.WaitForExit() == 0);
//
// The destructor kills the child if it still runs.

#pragma once

#include "testing/stand_in/stand_in.h"

#include <json/value.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rattanweir::testing {

// Maximum time that WaitUntil() waits for a condition.
inline constexpr std::chrono::seconds kConditionTimeout{ 30 };

// Polls the condition until it holds. `aWhat` names the condition. Throws
// std::runtime_error with `aWhat` after kConditionTimeout.
void
WaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition);

struct ProcessOptions
{
  std::string m_path;
  std::vector<std::string> m_arguments;
};

class Process
{
public:
  explicit Process(const ProcessOptions& aOptions);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Returns all lines of standard output and error that the child has written
  // before the call.
  std::vector<std::string> Lines() const;

  // Waits for a JSON line with this `event` and returns it. Throws
  // std::runtime_error if kConditionTimeout elapses or if the process closes
  // its output first; the message then contains its lines.
  Json::Value WaitForRecord(const std::string& aEvent) const;

  int Pid() const { return m_pid; }

  void Signal(int aSignal) const;

  // Waits for the process to exit and for its output to close. Returns the exit
  // status, or the negated signal number if a signal ended the process. Throws
  // std::runtime_error after kConditionTimeout.
  int WaitForExit();

  // Returns whether the process has exited and its output is fully read.
  bool HasEnded();

private:
  // Reads the output until the child closes it, so that the child never blocks
  // on a full pipe.
  void ReadUntilClosed();

  // Appends the output that is available without blocking to `m_lines`.
  // `m_mutex` is held.
  void ReadAvailable() const;

  std::string m_name;
  int m_pid = -1;
  int m_output = -1;
  std::optional<int> m_status;
  mutable std::mutex m_mutex;
  mutable std::string m_pending;
  mutable std::vector<std::string> m_lines;
  mutable bool m_isClosed = false;
  std::thread m_reader;
};

} // namespace rattanweir::testing
