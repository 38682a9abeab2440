// One token bucket for a complete fleet: the reference that the admissions of
// the fleet are compared with.
//
//   CentralBucket bucket({ .m_rate = 2'000, .m_burst = 20'000,
//                          .m_maxWaitSeconds = 0.5 });
//   double admitted = bucket.Offer(1.25, 400);
//
// Times are in seconds and must not decrease.

#pragma once

namespace rattanweir::bench {

struct CentralBucketOptions
{
  double m_rate = 0;
  double m_burst = 0;
  // Longest time that a request may wait for its tokens.
  double m_maxWaitSeconds = 0;
};

class CentralBucket
{
public:
  // Creates a bucket that is empty at time 0.
  explicit CentralBucket(const CentralBucketOptions& aOptions);

  // Returns the number of tokens admitted: `aTokens` or 0.
  double Offer(double aTime, double aTokens);

private:
  CentralBucketOptions m_options;
  double m_time = 0;
  // Negative while admitted requests wait for their tokens.
  double m_tokens = 0;
};

} // namespace rattanweir::bench
