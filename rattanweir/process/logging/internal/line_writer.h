// Writes whole lines to a descriptor without ever waiting for its reader.
//
//   LineWriter writer(STDOUT_FILENO);
//   writer.Write("time=.. event=..");
//   writer.DroppedLines();
//
// A line that the descriptor has no room for is lost, and counted. For one
// thread, or under a lock.

#pragma once

#include <cstdint>
#include <string>

namespace rattanweir {

class LineWriter
{
public:
  // Puts the descriptor into non-blocking mode.
  explicit LineWriter(int aDescriptor);

  // False if the line was lost.
  bool Write(std::string aLine);

  std::uint64_t DroppedLines() const { return m_droppedLines; }

private:
  int m_descriptor;
  std::uint64_t m_droppedLines = 0;
  // The rest of a line that was written in part.
  std::string m_unwritten;
};

} // namespace rattanweir
