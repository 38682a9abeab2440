// One of our own programs, run as a child of a test.
//
//   Process engine({ .m_path = kEngine, .m_arguments = { "--port", "0" } });
//   const Json::Value record = engine.WaitForRecord("listening");
//   engine.Signal(SIGTERM);
//   CHECK(engine.WaitForExit() == 0);
//
// The destructor kills a child that still runs.

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

// The most that a test waits for a condition that must come.
inline constexpr std::chrono::seconds kConditionTimeout{ 30 };

// Looks at the condition until it holds; throws std::runtime_error with
// `aWhat` after the bound.
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

  // All lines of standard output and error so far.
  std::vector<std::string> Lines() const;

  // Waits for a JSON line with this `event`. Throws std::runtime_error with
  // the process's lines after the bound or when it ended.
  Json::Value WaitForRecord(const std::string& aEvent) const;

  int Pid() const { return m_pid; }

  void Signal(int aSignal) const;

  // The exit status, or minus the signal that ended it; Lines() has them all
  // then. Throws std::runtime_error after the bound.
  int WaitForExit();

  // Whether it has exited.
  bool HasEnded();

private:
  void ReadLines(int aFd);

  std::string m_name;
  int m_pid = -1;
  std::optional<int> m_status;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_lines;
  bool m_isClosed = false;
  std::thread m_reader;
};

} // namespace rattanweir::testing
