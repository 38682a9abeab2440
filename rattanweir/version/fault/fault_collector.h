// Collects the faults of one text, so that all are reported together.
//
//   FaultCollector faults("routes.yaml", "routes");
//   faults.Add(12, "[1].deadline", "is missing");
//   faults.ThrowIfAny();
//
// Not thread-safe.

#pragma once

#include "rattanweir/version/fault/fault.h"

#include <cstddef>
#include <string>
#include <vector>

namespace rattanweir {

// Collects the faults of one text. Keeps the first kMaximumFaults and only
// counts the rest, which bounds the memory that a large faulty text takes.
class FaultCollector
{
public:
  static constexpr std::size_t kMaximumFaults = 200;

  FaultCollector(std::string aFile, std::string aSection);

  void Add(int aLine, std::string aField, std::string aMessage);
  bool IsEmpty() const { return m_faults.empty(); }

  // Returns the faults in the order of their lines. If some were dropped, a
  // last entry gives their number.
  std::vector<SectionFault> Faults() const;

  // Throws SectionError if any fault was added.
  void ThrowIfAny() const;

private:
  std::string m_file;
  std::string m_section;
  std::vector<SectionFault> m_faults;
  std::size_t m_droppedCount = 0;
};

} // namespace rattanweir
