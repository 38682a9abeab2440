// Faults of a configuration text, each with its location.
//
//   throw SectionError({ { .m_file = "keys.yaml", .m_line = 3,
//                          .m_section = "keys", .m_field = "[0].sha256",
//                          .m_message = "is missing" } });
//
// All types are value types.

#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace rattanweir {

// A text and the file name that messages give for it.
struct SectionText
{
  std::string m_file;
  std::string m_text;
};

// One fault and its location. `m_line` counts from 1; 0 means that the fault
// has no line.
struct SectionFault
{
  std::string m_file;
  int m_line = 0;
  std::string m_section;
  // The path of the field: nested names are joined by dots, list elements are
  // given by their index from 0, as in `[3].deadline`. Empty if the fault
  // concerns the entire section.
  std::string m_field;
  std::string m_message;

  // Formats the fault as `file:line: section.field: message`.
  std::string ToString() const;
};

// Thrown for a text that cannot be accepted. Holds all its faults, at least
// one.
class SectionError : public std::runtime_error
{
public:
  explicit SectionError(std::vector<SectionFault> aFaults);
  const std::vector<SectionFault>& Faults() const { return m_faults; }

private:
  std::vector<SectionFault> m_faults;
};

} // namespace rattanweir
