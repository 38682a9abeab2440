#include "rattanweir/version/fault/fault_collector.h"

#include <algorithm>
#include <utility>

namespace rattanweir {

FaultCollector::FaultCollector(std::string aFile, std::string aSection)
  : m_file(std::move(aFile))
  , m_section(std::move(aSection))
{
}

void
FaultCollector::Add(int aLine, std::string aField, std::string aMessage)
{
  if (m_faults.size() == kMaximumFaults) {
    ++m_droppedCount;
    return;
  }
  m_faults.push_back({ .m_file = m_file,
                       .m_line = aLine,
                       .m_section = m_section,
                       .m_field = std::move(aField),
                       .m_message = std::move(aMessage) });
}

std::vector<SectionFault>
FaultCollector::Faults() const
{
  std::vector<SectionFault> faults = m_faults;
  std::stable_sort(
    faults.begin(), faults.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_line < aRight.m_line;
    });
  if (m_droppedCount > 0) {
    faults.push_back(
      { .m_file = m_file,
        .m_section = m_section,
        .m_message = std::to_string(m_droppedCount) + " more faults" });
  }
  return faults;
}

void
FaultCollector::ThrowIfAny() const
{
  if (!IsEmpty()) {
    throw SectionError(Faults());
  }
}

} // namespace rattanweir
