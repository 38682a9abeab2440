// Leaves a small share of the dispatches to lower priorities, so that a higher
// one in demand can't starve them.
//
//   const bool isLower = floor.IsLowerDue() && hasLowerWaiter;
//   floor.RecordDispatch(isAheadOfLower);

#pragma once

namespace rattanweir {

class PriorityFloor
{
public:
  // Returns whether the next dispatch is left to a lower priority.
  bool IsLowerDue() const { return m_ahead >= kDispatchesPerLower; }

  // Records a dispatch, and whether a request of a lower priority waited
  // meanwhile.
  void RecordDispatch(bool aIsAheadOfLower)
  {
    m_ahead = aIsAheadOfLower ? m_ahead + 1 : 0;
  }

private:
  // One dispatch of 20 keeps lower priorities above a quarter of what all
  // requests get as long as they are up to a fifth of the requests.
  static constexpr unsigned kDispatchesPerLower = 19;

  // Dispatches in a row that preceded a waiter of a lower priority.
  unsigned m_ahead = 0;
};

} // namespace rattanweir
