// One bucket for a whole fleet, as a scale for what the fleet admits.
//
//   CentralBucket bucket({ .m_rate = 2'000, .m_burst = 20'000,
//                          .m_longestWait = 0.5 });
//   double admitted = bucket.Offer(1.25, 400);
//
// Times are seconds and never go back.

#pragma once

namespace rattanweir::bench {

struct CentralBucketOptions
{
  double m_rate = 0;
  double m_burst = 0;
  // Seconds that a request may wait for its tokens.
  double m_longestWait = 0;
};

class CentralBucket
{
public:
  // Empty at time 0.
  explicit CentralBucket(const CentralBucketOptions& aOptions);

  // The tokens admitted: all of them or none.
  double Offer(double aTime, double aTokens);

private:
  CentralBucketOptions m_options;
  double m_time = 0;
  // Below zero while requests wait.
  double m_tokens = 0;
};

} // namespace rattanweir::bench
