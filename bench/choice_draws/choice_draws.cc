// How long requests wait by the number of candidates drawn for one choice.
//
// Instances with a view each send to the servers of one region. A server
// runs a bounded number of requests at once and queues the others; an instance
// learns its load with each answer, as of some time before. The choice and the
// view are the product's; arrivals, servers and time are simulated. One table
// for each pool size and load, over several seeds; then the time of a choice.

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/request/routing/backend_choice.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;
using Seconds = std::chrono::duration<double>;

constexpr std::size_t kSlots = 4;
constexpr std::size_t kRequests = 40'000;
constexpr std::uint64_t kSeeds = 5;
constexpr double kMeanService = 1.0;
constexpr std::uint32_t kUnbounded = 1'000'000;

// Candidates drawn for one choice: one is a random choice, all of them the
// cheapest.
constexpr std::size_t kDraws[] = { 1, 2, 4, 1'000 };

struct Server
{
  std::size_t m_running = 0;
  std::deque<std::size_t> m_queue;
  // Its load over time, for reports of some age.
  std::deque<std::pair<SteadyTime, std::uint64_t>> m_history;
  double m_speed = 1;
};

struct Request
{
  SteadyTime m_arrived;
  std::size_t m_instance = 0;
  std::size_t m_server = 0;
  nanoseconds m_service{};
};

struct Event
{
  SteadyTime m_at;
  std::function<void()> m_run;
  bool operator<(const Event& aOther) const { return m_at > aOther.m_at; }
};

struct Shape
{
  std::size_t m_instances = 0;
  std::size_t m_servers = 0;
  double m_load = 0;
  // The first server runs at this part of the others' speed.
  double m_slowest = 1;
  nanoseconds m_reportAge = 200ms;
};

class Simulation
{
public:
  Simulation(const Shape& aShape, std::size_t aDraws, std::uint64_t aSeed)
    : m_shape(aShape)
    , m_random(aSeed)
    , m_choice({ .m_clock = m_clock, .m_random = m_random, .m_draws = aDraws })
    , m_servers(aShape.m_servers)
  {
    m_servers.front().m_speed = aShape.m_slowest;
    for (std::size_t instance = 0; instance < aShape.m_instances; ++instance) {
      m_views.push_back(std::make_unique<BackendView>(
        BackendViewOptions{ .m_clock = m_clock }));
    }
    m_requests.reserve(kRequests);
  }

  // The time from arrival to end of each request, in seconds.
  std::vector<double> Run()
  {
    Arrive();
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.Advance(event.m_at - m_clock.SteadyNow());
      event.m_run();
    }
    return std::move(m_waits);
  }

private:
  void At(nanoseconds aAfter, std::function<void()> aRun)
  {
    m_events.push({ m_clock.SteadyNow() + aAfter, std::move(aRun) });
  }

  nanoseconds Exponential(double aMean)
  {
    return std::chrono::duration_cast<nanoseconds>(
      Seconds(std::exponential_distribution<>(1 / aMean)(m_random)));
  }

  double Capacity() const
  {
    const double equal = static_cast<double>(m_shape.m_servers) - 1;
    return (equal + m_shape.m_slowest) * kSlots / kMeanService;
  }

  void Arrive()
  {
    const std::size_t number = m_requests.size();
    m_requests.push_back(
      { .m_arrived = m_clock.SteadyNow(),
        .m_instance = UniformIndex(m_random, m_shape.m_instances),
        .m_service = Exponential(kMeanService) });
    Dispatch(number);
    if (m_requests.size() < kRequests) {
      At(Exponential(1 / (Capacity() * m_shape.m_load)), [this] { Arrive(); });
    }
  }

  std::size_t Choose(const BackendView& aView)
  {
    std::vector<BackendCandidate> candidates;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
      candidates.push_back({ .m_id = Id(server),
                             .m_maximumInFlight = kUnbounded,
                             .m_state = aView.StateOf(Id(server)) });
    }
    return std::get<ChosenBackend>(m_choice.Choose(candidates)).m_index;
  }

  void Dispatch(std::size_t aNumber)
  {
    Request& request = m_requests[aNumber];
    BackendView& view = *m_views[request.m_instance];
    request.m_server = Choose(view);
    view.AddDispatch(Id(request.m_server), 1);
    Server& server = m_servers[request.m_server];
    if (server.m_running < kSlots) {
      Begin(aNumber);
    } else {
      server.m_queue.push_back(aNumber);
    }
    NoteLoad(server);
  }

  void Begin(std::size_t aNumber)
  {
    const Request& request = m_requests[aNumber];
    Server& server = m_servers[request.m_server];
    ++server.m_running;
    const auto lasting = std::chrono::duration_cast<nanoseconds>(
      Seconds(request.m_service) / server.m_speed);
    At(lasting, [this, aNumber] { End(aNumber); });
  }

  void End(std::size_t aNumber)
  {
    const Request& request = m_requests[aNumber];
    Server& server = m_servers[request.m_server];
    BackendView& view = *m_views[request.m_instance];
    --server.m_running;
    if (!server.m_queue.empty()) {
      const std::size_t next = server.m_queue.front();
      server.m_queue.pop_front();
      Begin(next);
    }
    NoteLoad(server);
    view.ReportLoad(Id(request.m_server), ReportOf(server));
    view.EndDispatch(Id(request.m_server), 1, AttemptVerdict::Answered);
    m_waits.push_back(Seconds(m_clock.SteadyNow() - request.m_arrived).count());
  }

  void NoteLoad(Server& aServer)
  {
    aServer.m_history.emplace_back(m_clock.SteadyNow(),
                                   aServer.m_running + aServer.m_queue.size());
  }

  // The load as it was one report age ago.
  std::uint64_t ReportOf(Server& aServer) const
  {
    const SteadyTime at = m_clock.SteadyNow() - m_shape.m_reportAge;
    while (aServer.m_history.size() > 1 && aServer.m_history[1].first <= at) {
      aServer.m_history.pop_front();
    }
    return aServer.m_history.front().second;
  }

  static BackendServerId Id(std::size_t aServer)
  {
    return BackendServerId(std::to_string(aServer));
  }

  Shape m_shape;
  RandomEngine m_random;
  ManualClock m_clock;
  BackendChoice m_choice;
  std::vector<Server> m_servers;
  std::vector<std::unique_ptr<BackendView>> m_views;
  std::vector<Request> m_requests;
  std::priority_queue<Event> m_events;
  std::vector<double> m_waits;
};

double
Quantile(std::vector<double>& aValues, double aPart)
{
  const auto at = static_cast<std::ptrdiff_t>(
    aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + at, aValues.end());
  return aValues[static_cast<std::size_t>(at)];
}

void
PrintRow(const Shape& aShape, std::size_t aDraws)
{
  std::vector<double> waits;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto run = Simulation(aShape, aDraws, seed).Run();
    waits.insert(waits.end(), run.begin(), run.end());
  }
  std::printf("%9zu %7zu %5.2f %7.2f %6.1f %6zu %8.2f %7.2f %7.2f\n",
              aShape.m_instances,
              aShape.m_servers,
              aShape.m_load,
              aShape.m_slowest,
              Seconds(aShape.m_reportAge).count(),
              std::min(aDraws, aShape.m_servers),
              Quantile(waits, 0.5),
              Quantile(waits, 0.95),
              Quantile(waits, 0.99));
}

void
PrintChoiceTime(std::size_t aServers)
{
  constexpr int kChoices = 200'000;
  RandomEngine random(1);
  BackendChoice choice({ .m_clock = SystemClock(), .m_random = random });
  std::vector<BackendCandidate> candidates(aServers);
  for (BackendCandidate& candidate : candidates) {
    candidate.m_maximumInFlight = kUnbounded;
  }
  std::size_t sum = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int index = 0; index < kChoices; ++index) {
    sum += std::get<ChosenBackend>(choice.Choose(candidates)).m_index;
  }
  const auto lasted = std::chrono::steady_clock::now() - begin;
  std::printf("%7zu servers: %.0f ns a choice (%zu)\n",
              aServers,
              Seconds(lasted).count() * 1e9 / kChoices,
              sum % 10);
}

} // namespace
} // namespace rattanweir

int
main()
{
  using namespace rattanweir;
  using namespace std::chrono_literals;
  std::printf("instances servers  load slowest age(s)  draws   p50(s)  p95(s)"
              "  p99(s)\n");
  const Shape shapes[] = {
    { 8, 4, 0.9 },       { 8, 12, 0.7 },          { 8, 12, 0.9 },
    { 8, 12, 0.8, 0.4 }, { 8, 12, 0.9, 1, 2s },   { 34, 12, 0.9 },
    { 34, 150, 0.9 },    { 34, 150, 0.9, 1, 2s },
  };
  for (const Shape& shape : shapes) {
    for (const std::size_t draws : kDraws) {
      PrintRow(shape, draws);
    }
  }
  for (const std::size_t servers : { 4, 12, 60, 200 }) {
    PrintChoiceTime(servers);
  }
  return 0;
}
