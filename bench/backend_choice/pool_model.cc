#include "bench/backend_choice/pool_model.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <variant>
#include <vector>

namespace rattanweir {
namespace {

struct Arrival
{};
struct PrefillEnd
{
  std::size_t m_engine;
  ModelRequest m_request;
};
struct ResponseEnd
{
  std::size_t m_engine;
  ModelRequest m_request;
};

struct Event
{
  double m_time;
  std::uint64_t m_sequenceNumber;
  std::variant<Arrival, PrefillEnd, ResponseEnd> m_payload;

  bool operator>(const Event& aOther) const
  {
    return std::pair(m_time, m_sequenceNumber) >
           std::pair(aOther.m_time, aOther.m_sequenceNumber);
  }
};

class Pool
{
public:
  explicit Pool(const PoolOptions& aOptions)
    : m_options(aOptions)
    , m_trafficRandom(aOptions.m_seed)
    , m_random(aOptions.m_seed + 1'000'000)
    , m_engines(aOptions.m_engines, EngineModel({}))
  {
    for (std::size_t instance = 0; instance < aOptions.m_instances;
         ++instance) {
      m_choosers.push_back(MakeChooser({ .m_kind = aOptions.m_chooser,
                                         .m_engines = aOptions.m_engines,
                                         .m_clock = m_clock,
                                         .m_random = m_random }));
    }
    std::uniform_real_distribution<double> tokens(500, 3'500);
    const std::size_t documents =
      aOptions.m_engines * aOptions.m_documentsPerEngine;
    std::vector<double> weights;
    for (std::size_t document = 0; document < documents; ++document) {
      m_documentTokens.push_back(std::floor(tokens(m_trafficRandom)));
      weights.push_back(
        std::pow(static_cast<double>(document + 1), -aOptions.m_documentSkew));
    }
    m_documents = { weights.begin(), weights.end() };
  }

  PoolMetrics Run()
  {
    Schedule(0, Arrival{});
    while (!m_events.empty() &&
           m_events.top().m_time < m_options.m_endSeconds) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.Advance(std::chrono::nanoseconds(
        std::llround((event.m_time - m_now) * 1'000'000'000)));
      m_now = event.m_time;
      std::visit([this](const auto& aPayload) { Handle(aPayload); },
                 event.m_payload);
    }
    return ComputeMetrics();
  }

private:
  void Schedule(
    double aDelaySeconds,
    const std::variant<Arrival, PrefillEnd, ResponseEnd>& aEventPayload)
  {
    m_events.push({ m_now + aDelaySeconds, m_eventNumber++, aEventPayload });
  }

  bool IsAfterWarmUp(double aTime) const
  {
    return aTime >= m_options.m_warmUpSeconds;
  }

  ModelRequest DrawRequest()
  {
    std::uniform_int_distribution<int> uniqueTokens(50, 350);
    std::exponential_distribution<double> responseTokens(1.0 / 386);
    ModelRequest request;
    request.m_instance = UniformIndex(m_trafficRandom, m_choosers.size());
    request.m_document = m_documents(m_trafficRandom);
    request.m_documentTokens = m_documentTokens[request.m_document];
    request.m_uniqueTokens = uniqueTokens(m_trafficRandom);
    request.m_responseTokens =
      std::min(1 + responseTokens(m_trafficRandom), 1'024.0);
    request.m_maxTokens = 1'024;
    request.m_arrivedAt = m_now;
    return request;
  }

  void Handle(const Arrival& /*aArrival*/)
  {
    std::exponential_distribution<double> gap(
      m_options.m_requestsPerSecondPerEngine *
      static_cast<double>(m_engines.size()));
    Schedule(gap(m_trafficRandom), Arrival{});
    const ModelRequest request = DrawRequest();
    const std::size_t engine = m_choosers[request.m_instance]->Choose(request);
    CountDispatch(engine);
    m_engines[engine].Add(m_now, request);
    Advance(engine);
  }

  void Handle(const PrefillEnd& aEnd)
  {
    EngineModel& engine = m_engines[aEnd.m_engine];
    if (IsAfterWarmUp(aEnd.m_request.m_arrivedAt)) {
      m_firstTokens.push_back(m_now - aEnd.m_request.m_arrivedAt);
    }
    const double seconds = engine.EndPrefill(aEnd.m_request);
    Schedule(seconds, ResponseEnd{ aEnd.m_engine, aEnd.m_request });
    const double lag = m_options.m_lagSeconds;
    m_choosers[aEnd.m_request.m_instance]->OnResponseStart(
      aEnd.m_engine, aEnd.m_request, engine.LoadAt(m_now - lag, lag));
    Advance(aEnd.m_engine);
  }

  void Handle(const ResponseEnd& aEnd)
  {
    m_engines[aEnd.m_engine].EndResponse(m_now, aEnd.m_request);
    m_choosers[aEnd.m_request.m_instance]->OnResponseEnd(aEnd.m_engine,
                                                         aEnd.m_request);
    Advance(aEnd.m_engine);
  }

  void Advance(std::size_t aEngine)
  {
    const auto prefill = m_engines[aEngine].StartPrefill();
    if (!prefill) {
      return;
    }
    if (IsAfterWarmUp(prefill->m_request.m_arrivedAt)) {
      m_hits += prefill->m_isHit ? 1 : 0;
      ++m_prefills;
    }
    Schedule(prefill->m_seconds, PrefillEnd{ aEngine, prefill->m_request });
  }

  void CountDispatch(std::size_t aEngine)
  {
    if (!IsAfterWarmUp(m_now)) {
      return;
    }
    ++m_dispatches;
    const bool isMostLoaded = std::none_of(
      m_engines.begin(), m_engines.end(), [&](const EngineModel& aOther) {
        return aOther.Load() > m_engines[aEngine].Load();
      });
    m_dispatchesToMostLoaded += isMostLoaded ? 1 : 0;
  }

  PoolMetrics ComputeMetrics()
  {
    std::sort(m_firstTokens.begin(), m_firstTokens.end());
    const auto quantile = [&](double aShare) {
      const auto last = static_cast<double>(m_firstTokens.size() - 1);
      return m_firstTokens[static_cast<std::size_t>(aShare * last)];
    };
    return { .m_p50 = quantile(0.50),
             .m_p95 = quantile(0.95),
             .m_p99 = quantile(0.99),
             .m_prefixHitRatio = m_hits / m_prefills,
             .m_mostLoadedRatio = m_dispatchesToMostLoaded / m_dispatches };
  }

  PoolOptions m_options;
  RandomEngine m_trafficRandom;
  RandomEngine m_random;
  ManualClock m_clock;
  double m_now = 0;
  std::uint64_t m_eventNumber = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<EngineModel> m_engines;
  std::vector<std::unique_ptr<Chooser>> m_choosers;
  std::vector<double> m_documentTokens;
  std::discrete_distribution<std::uint32_t> m_documents;
  std::vector<double> m_firstTokens;
  double m_hits = 0;
  double m_prefills = 0;
  double m_dispatchesToMostLoaded = 0;
  double m_dispatches = 0;
};

} // namespace

PoolMetrics
RunPool(const PoolOptions& aOptions)
{
  return Pool(aOptions).Run();
}

} // namespace rattanweir
