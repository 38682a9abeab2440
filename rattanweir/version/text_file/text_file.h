// Reads a whole text file.
//
//   const SectionText text = ReadTextFile("configuration/routes.yaml");

#pragma once

#include "rattanweir/version/fault/fault.h"

#include <stdexcept>
#include <string>

namespace rattanweir {

// A file that cannot be read; the message says why, without the path.
class TextFileError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// The file's text, named by its path. Throws TextFileError.
SectionText
ReadTextFile(const std::string& aPath);

} // namespace rattanweir
