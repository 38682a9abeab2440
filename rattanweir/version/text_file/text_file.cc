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
  // An empty file only fails; a folder opens, and is bad once read.
  if (!file.is_open() || text.bad()) {
    throw TextFileError("cannot be read: " +
                        std::generic_category().message(errno));
  }
  return { .m_file = aPath, .m_text = text.str() };
}

} // namespace rattanweir
