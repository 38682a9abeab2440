#include "rattanweir/process/logging/internal/line_writer.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace rattanweir {
namespace {

// Returns the number of bytes written; 0 if the write would block or fails.
std::size_t
WriteSome(int aDescriptor, const std::string& aText)
{
  ssize_t count = 0;
  do {
    count = ::write(aDescriptor, aText.data(), aText.size());
  } while (count < 0 && errno == EINTR);
  return count < 0 ? 0 : static_cast<std::size_t>(count);
}

} // namespace

LineWriter::LineWriter(int aDescriptor)
  : m_descriptor(aDescriptor)
{
  const int flags = ::fcntl(aDescriptor, F_GETFL);
  if (flags >= 0) {
    ::fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool
LineWriter::Write(std::string aLine)
{
  // Finishes a partially written line first, so that lines stay complete.
  if (!m_unwritten.empty()) {
    m_unwritten.erase(0, WriteSome(m_descriptor, m_unwritten));
  }
  if (!m_unwritten.empty()) {
    ++m_droppedLines;
    return false;
  }
  aLine += '\n';
  const std::size_t written = WriteSome(m_descriptor, aLine);
  if (written == 0) {
    ++m_droppedLines;
    return false;
  }
  m_unwritten = aLine.substr(written);
  return true;
}

} // namespace rattanweir
