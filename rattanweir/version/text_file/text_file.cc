#include "rattanweir/version/text_file/text_file.h"

#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace rattanweir {

SectionText
ReadTextFile(const std::string& aPath)
{
  const std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  if (file.is_open()) {
    text << file.rdbuf();
  }
  // Reading an empty file sets only failbit, which is no error. A directory can
  // be opened, but reading it sets badbit.
  if (!file.is_open() || text.bad()) {
    throw TextFileError("cannot be read: " +
                        std::generic_category().message(errno));
  }
  return { .m_file = aPath, .m_text = text.str() };
}

} // namespace rattanweir
