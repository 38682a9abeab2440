#include "testing/load_model/load_system.h"

namespace rattanweir {

using std::chrono::milliseconds;

LoadSystem
GuidesAndBookings()
{
  return {
    .m_kinds = { { .m_name = "question",
                   .m_isForEngine = true,
                   .m_priority = 0,
                   .m_requestsPerSecond = 900,
                   .m_documents = 16,
                   .m_sharedTokens = Tokens(92),
                   .m_uniqueTokens = Tokens(291),
                   .m_steps = 20,
                   .m_objective = milliseconds(600),
                   .m_deadline = milliseconds(3'000),
                   .m_value = 1.9,
                   .m_lateValue = 0.56 },
                 { .m_name = "plan",
                   .m_isForEngine = true,
                   .m_priority = 1,
                   .m_requestsPerSecond = 160,
                   .m_documents = 16,
                   .m_sharedTokens = Tokens(13'300),
                   .m_uniqueTokens = Tokens(3'720),
                   .m_steps = 120,
                   .m_objective = milliseconds(1'000),
                   .m_deadline = milliseconds(6'000),
                   .m_value = 15,
                   .m_lateValue = 4.4 },
                 { .m_name = "booking",
                   .m_priority = 0,
                   .m_requestsPerSecond = 600,
                   .m_steps = 15,
                   .m_objective = milliseconds(300),
                   .m_deadline = milliseconds(2'000) } },
    .m_regions = { { .m_instances = 4,
                     .m_engines = 8,
                     .m_plainServers = 1,
                     .m_share = 1.0 / 3 },
                   { .m_instances = 3,
                     .m_engines = 6,
                     .m_plainServers = 1,
                     .m_share = 1.0 / 3 },
                   { .m_instances = 3,
                     .m_engines = 4,
                     .m_plainServers = 1,
                     .m_share = 1.0 / 3 } },
    .m_engine = { .m_batchLimit = 12,
                  .m_prefillTokensPerSecond = 61'800,
                  .m_stepSeconds = 0.00309,
                  .m_stepSecondsPerRequest = 0.0001,
                  .m_cacheTokens = 150'000 },
    .m_copySecondsPerToken = 1.2e-6,
    .m_plainServer = { .m_batchLimit = 6,
                       .m_stepSeconds = 0.001,
                       .m_stepSecondsPerRequest = 0,
                       .m_cacheTokens = 0 },
  };
}

} // namespace rattanweir
