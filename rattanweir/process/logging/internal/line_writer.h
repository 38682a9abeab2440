// Writes complete lines to a file descriptor without blocking.
//
//   LineWriter writer(STDOUT_FILENO);
//   writer.Write("time=.. event=..");
//   writer.DroppedLines();
//
// Drops and counts a line that the descriptor cannot accept. Not thread-safe.

#pragma once

#include <cstdint>
#include <string>

namespace rattanweir {

class LineWriter
{
public:
  // Sets the descriptor to non-blocking mode.
  explicit LineWriter(int aDescriptor);

  // Appends a newline and writes the line. Returns false if it was dropped.
  bool Write(std::string aLine);

  std::uint64_t DroppedLines() const { return m_droppedLines; }

private:
  int m_descriptor;
  std::uint64_t m_droppedLines = 0;
  // Remainder of a partially written line.
  std::string m_unwritten;
};

} // namespace rattanweir
