// Reads a complete text file.
//
//   const SectionText text = ReadTextFile("configuration/routes.yaml");

#pragma once

#include "rattanweir/version/fault/fault.h"

#include <stdexcept>
#include <string>

namespace rattanweir {

// Thrown if a file cannot be read. The message gives the reason without the
// path.
class TextFileError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Returns the file's content with its path as the file name. Throws
// TextFileError.
SectionText
ReadTextFile(const std::string& aPath);

} // namespace rattanweir
