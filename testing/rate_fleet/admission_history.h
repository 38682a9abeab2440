// Records the tokens that a fleet admitted for one client account, and checks
// the rate limit over every interval.
//
//   AdmissionHistory history;
//   history.SetLimits(0, 2'000, 20'000);
//   history.Add(1.5, 700);
//   history.Add(1.9, -200); // refund
//   double tokens = history.OverAdmission();
//
// Times are simulated true time in seconds and must not decrease.

#pragma once

#include <vector>

namespace rattanweir {

class AdmissionHistory
{
public:
  // Sets the limits from this time on. An interval that spans a change of the
  // limits permits the larger burst.
  void SetLimits(double aTime, double aRate, double aBurst);

  void Add(double aTime, double aTokens);

  // Returns the largest excess of any interval over rate * t + burst, in
  // tokens; 0 if none exceeds the limit.
  double OverAdmission() const;

private:
  // The intervals that start between two changes of the limits.
  struct Phase
  {
    // Largest burst in force since the phase started.
    double m_burst = 0;
    double m_lowestExcess = 0;
  };

  void AdvanceTo(double aTime);

  double m_time = 0;
  double m_rate = 0;
  // Tokens admitted so far minus tokens that the rate permitted so far.
  double m_excess = 0;
  std::vector<Phase> m_phases;
  double m_maxOverAdmission = 0;
};

} // namespace rattanweir
