// Gathers the faults of one text before any is thrown.
//
//   FaultCollector faults("routes.yaml", "routes");
//   faults.Add(12, "[1].deadline", "is missing");
//   faults.ThrowIfAny();
//
// For one thread.

#pragma once

#include "rattanweir/version/fault/fault.h"

#include <cstddef>
#include <string>
#include <vector>

namespace rattanweir {

// Gathers the faults of one text. Keeps the first kMaximumFaults and the
// number of the others, so that a large faulty text stays cheap to remember.
class FaultCollector
{
public:
  static constexpr std::size_t kMaximumFaults = 200;

  FaultCollector(std::string aFile, std::string aSection);

  void Add(int aLine, std::string aField, std::string aMessage);
  bool IsEmpty() const { return m_faults.empty(); }

  // All faults in the order of their lines; the last one tells how many were
  // left out, if any were.
  std::vector<SectionFault> Faults() const;

  // Throws SectionError if there is a fault.
  void ThrowIfAny() const;

private:
  std::string m_file;
  std::string m_section;
  std::vector<SectionFault> m_faults;
  std::size_t m_leftOut = 0;
};

} // namespace rattanweir
