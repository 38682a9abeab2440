#include "review/support/record.h"

#include <array>
#include <cstdio>

namespace review {

void
Record::Write(const std::string& aLine)
{
  std::array<char, 32> seconds{};
  std::snprintf(
    seconds.data(), seconds.size(), "%8.3f s  ", SecondsAt(SteadyClock::now()));
  const std::lock_guard lock(m_mutex);
  m_file << seconds.data() << aLine << '\n' << std::flush;
  std::printf("%s%s\n", seconds.data(), aLine.c_str());
  std::fflush(stdout);
}

} // namespace review
