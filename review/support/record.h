// The record of one run: what was sent, answered and run, a line each with the
// seconds since the start of the case. Thread-safe.

#pragma once

#include "review/support/socket.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath, std::ios::trunc)
    , m_startedAt(SteadyClock::now())
  {
  }

  // Writes a line to the file and to standard output.
  void Write(const std::string& aLine);

  // Seconds since the start, for texts.
  double SecondsAt(SteadyTime aTime) const
  {
    return std::chrono::duration<double>(aTime - m_startedAt).count();
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  SteadyTime m_startedAt;
};

} // namespace review
