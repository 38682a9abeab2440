#include "rattanweir/version/fault/fault.h"

#include <utility>

namespace rattanweir {
namespace {

std::string
JoinFaults(const std::vector<SectionFault>& aFaults)
{
  std::string joined;
  for (const SectionFault& fault : aFaults) {
    if (!joined.empty()) {
      joined += "\n";
    }
    joined += fault.ToString();
  }
  return joined;
}

} // namespace

std::string
SectionFault::ToString() const
{
  std::string text = m_file + ":";
  if (m_line > 0) {
    text += std::to_string(m_line) + ":";
  }
  text += " " + m_section;
  if (!m_field.empty()) {
    const bool isRow = m_field.front() == '[';
    text += (isRow ? "" : ".") + m_field;
  }
  return text + ": " + m_message;
}

SectionError::SectionError(std::vector<SectionFault> aFaults)
  : std::runtime_error(JoinFaults(aFaults))
  , m_faults(std::move(aFaults))
{
}

} // namespace rattanweir
