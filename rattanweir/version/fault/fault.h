// Faults of a configuration text, each with its place.
//
//   throw SectionError({ { .m_file = "keys.yaml", .m_line = 3,
//                          .m_section = "keys", .m_field = "[0].sha256",
//                          .m_message = "is missing" } });
//
// All types are values.

#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace rattanweir {

// A text and the name to call it by in messages.
struct SectionText
{
  std::string m_file;
  std::string m_text;
};

// One fault and its place. `m_line` counts from 1; 0 if there is no line.
struct SectionFault
{
  std::string m_file;
  int m_line = 0;
  std::string m_section;
  // Fields below one another are joined by dots; rows are named by their
  // number from 0, as in `[3].deadline`. Empty for the section as a whole.
  std::string m_field;
  std::string m_message;

  // `file:line: section.field: message`.
  std::string ToString() const;
};

// A text that cannot be accepted, with all its faults; never empty.
class SectionError : public std::runtime_error
{
public:
  explicit SectionError(std::vector<SectionFault> aFaults);
  const std::vector<SectionFault>& Faults() const { return m_faults; }

private:
  std::vector<SectionFault> m_faults;
};

} // namespace rattanweir
