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
  double m_at;
  std::uint64_t m_number;
  std::variant<Arrival, PrefillEnd, ResponseEnd> m_what;

  bool operator>(const Event& aOther) const
  {
    return std::pair(m_at, m_number) > std::pair(aOther.m_at, aOther.m_number);
  }
};

class Pool
{
public:
  explicit Pool(const PoolOptions& aOptions)
    : m_options(aOptions)
    , m_traffic(aOptions.m_seed)
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
      m_documentTokens.push_back(std::floor(tokens(m_traffic)));
      weights.push_back(
        std::pow(static_cast<double>(document + 1), -aOptions.m_documentSkew));
    }
    m_documents = { weights.begin(), weights.end() };
  }

  PoolFigures Run()
  {
    Schedule(0, Arrival{});
    while (!m_events.empty() && m_events.top().m_at < m_options.m_endSeconds) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.Advance(std::chrono::nanoseconds(
        std::llround((event.m_at - m_now) * 1'000'000'000)));
      m_now = event.m_at;
      std::visit([this](const auto& aWhat) { Handle(aWhat); }, event.m_what);
    }
    return Figures();
  }

private:
  void Schedule(double aAfter,
                const std::variant<Arrival, PrefillEnd, ResponseEnd>& aIt)
  {
    m_events.push({ m_now + aAfter, m_eventNumber++, aIt });
  }

  bool IsCounted(double aAt) const { return aAt >= m_options.m_warmUpSeconds; }

  ModelRequest DrawRequest()
  {
    std::uniform_int_distribution<int> question(50, 350);
    std::exponential_distribution<double> response(1.0 / 386);
    ModelRequest request;
    request.m_instance = UniformIndex(m_traffic, m_choosers.size());
    request.m_document = m_documents(m_traffic);
    request.m_documentTokens = m_documentTokens[request.m_document];
    request.m_uniqueTokens = question(m_traffic);
    request.m_responseTokens = std::min(1 + response(m_traffic), 1'024.0);
    request.m_maxTokens = 1'024;
    request.m_arrivedAt = m_now;
    return request;
  }

  void Handle(const Arrival& /*aArrival*/)
  {
    std::exponential_distribution<double> gap(
      m_options.m_requestsPerSecondPerEngine *
      static_cast<double>(m_engines.size()));
    Schedule(gap(m_traffic), Arrival{});
    const ModelRequest request = DrawRequest();
    const std::size_t engine = m_choosers[request.m_instance]->Choose(request);
    CountHerding(engine);
    m_engines[engine].Add(m_now, request);
    Advance(engine);
  }

  void Handle(const PrefillEnd& aEnd)
  {
    EngineModel& engine = m_engines[aEnd.m_engine];
    if (IsCounted(aEnd.m_request.m_arrivedAt)) {
      m_firstTokens.push_back(m_now - aEnd.m_request.m_arrivedAt);
    }
    const double seconds = engine.EndPrefill(aEnd.m_request);
    Schedule(seconds, ResponseEnd{ aEnd.m_engine, aEnd.m_request });
    const double lag = m_options.m_lagSeconds;
    m_choosers[aEnd.m_request.m_instance]->Begin(
      aEnd.m_engine, aEnd.m_request, engine.LoadAt(m_now - lag, lag));
    Advance(aEnd.m_engine);
  }

  void Handle(const ResponseEnd& aEnd)
  {
    m_engines[aEnd.m_engine].EndResponse(m_now, aEnd.m_request);
    m_choosers[aEnd.m_request.m_instance]->End(aEnd.m_engine, aEnd.m_request);
    Advance(aEnd.m_engine);
  }

  void Advance(std::size_t aEngine)
  {
    const auto prefill = m_engines[aEngine].StartPrefill();
    if (!prefill) {
      return;
    }
    if (IsCounted(prefill->m_request.m_arrivedAt)) {
      m_hits += prefill->m_isHit ? 1 : 0;
      ++m_prefills;
    }
    Schedule(prefill->m_seconds, PrefillEnd{ aEngine, prefill->m_request });
  }

  void CountHerding(std::size_t aEngine)
  {
    if (!IsCounted(m_now)) {
      return;
    }
    ++m_dispatches;
    const bool isMostLoaded = std::none_of(
      m_engines.begin(), m_engines.end(), [&](const EngineModel& aOther) {
        return aOther.Load() > m_engines[aEngine].Load();
      });
    m_toMostLoaded += isMostLoaded ? 1 : 0;
  }

  PoolFigures Figures()
  {
    std::sort(m_firstTokens.begin(), m_firstTokens.end());
    const auto quantile = [&](double aShare) {
      const auto last = static_cast<double>(m_firstTokens.size() - 1);
      return m_firstTokens[static_cast<std::size_t>(aShare * last)];
    };
    return { .m_p50 = quantile(0.50),
             .m_p95 = quantile(0.95),
             .m_p99 = quantile(0.99),
             .m_hitShare = m_hits / m_prefills,
             .m_herding = m_toMostLoaded / m_dispatches };
  }

  PoolOptions m_options;
  RandomEngine m_traffic;
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
  double m_toMostLoaded = 0;
  double m_dispatches = 0;
};

} // namespace

PoolFigures
RunPool(const PoolOptions& aOptions)
{
  return Pool(aOptions).Run();
}

} // namespace rattanweir
