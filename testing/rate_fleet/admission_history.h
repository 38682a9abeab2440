// What a fleet admitted of one client account, checked over every interval.
//
//   AdmissionHistory history;
//   history.SetLimits(0, 2'000, 20'000);
//   history.Add(1.5, 700);
//   history.Add(1.9, -200); // given back
//   double tokens = history.OverAdmission();
//
// Times are true time in seconds and never go back.

#pragma once

#include <vector>

namespace rattanweir {

class AdmissionHistory
{
public:
  // From this time on. An interval over a change may hold the larger burst.
  void SetLimits(double aTime, double aRate, double aBurst);

  void Add(double aTime, double aTokens);

  // By how many tokens the worst interval is over rate * t + burst; 0 if none
  // is.
  double OverAdmission() const;

private:
  // The intervals that begin between two changes of the limits.
  struct Phase
  {
    // The largest since then.
    double m_burst = 0;
    double m_lowestExcess = 0;
  };

  void AdvanceTo(double aTime);

  double m_time = 0;
  double m_rate = 0;
  // Admitted so far, less what the rate allowed so far.
  double m_excess = 0;
  std::vector<Phase> m_phases;
  double m_maxOverAdmission = 0;
};

} // namespace rattanweir
