#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/run_durations/run_durations_exchange.h"

#include "rattanweir/process/logging/log.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

constexpr char kMethod[] = "run_durations";
constexpr std::uint32_t kFields = 5;
// Limits on what a peer may state.
constexpr std::uint64_t kMaxRuns = 1'000;
constexpr milliseconds kMaxDuration = std::chrono::hours(1);

std::uint64_t
ToMilliseconds(std::chrono::nanoseconds aDuration)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
    0, std::chrono::ceil<milliseconds>(aDuration).count()));
}

milliseconds
ReadDuration(const PackedValue& aValue, const char* aName)
{
  return milliseconds(
    std::min(ReadUnsigned(aValue, aName),
             static_cast<std::uint64_t>(kMaxDuration.count())));
}

} // namespace

void
WriteRunSummaries(const RunSummaries& aRuns, PackedWriter& aWriter)
{
  aWriter.pack_array(static_cast<std::uint32_t>(aRuns.size()));
  for (const auto& [runClass, runs] : aRuns) {
    aWriter.pack_array(kFields);
    aWriter.pack(runClass.m_route.Value());
    aWriter.pack(runClass.m_pool.Value());
    aWriter.pack(static_cast<std::uint64_t>(runs.m_count));
    aWriter.pack(ToMilliseconds(runs.m_usual));
    aWriter.pack(ToMilliseconds(runs.m_longest));
  }
}

RunSummaries
ReadRunSummaries(const PackedValue& aValue)
{
  RunSummaries runs;
  for (const PackedValue& entry : ReadArray(aValue, "runs")) {
    const auto fields = ReadArray(entry, "run", kFields);
    const RunClass runClass{ .m_route = RouteId(ReadText(fields[0], "route")),
                             .m_pool = PoolId(ReadText(fields[1], "pool")) };
    const RunSummary summary{
      .m_count = std::min(ReadUnsigned(fields[2], "count"), kMaxRuns),
      .m_usual = ReadDuration(fields[3], "usual"),
      .m_longest = ReadDuration(fields[4], "longest"),
    };
    runs[runClass].Merge(summary);
  }
  return runs;
}

RunDurationsExchange::RunDurationsExchange(
  const RunDurationsExchangeOptions& aOptions)
  : m_options(aOptions)
{
  m_options.m_dispatcher.Register(
    kMethod, [this](const PackedValue& /*aParameters*/, PackedWriter& aResult) {
      WriteRunSummaries(m_options.m_serviceEnd.LocalRuns(), aResult);
    });
}

std::vector<Endpoint>
RunDurationsExchange::ChoosePeers() const
{
  const FleetView& fleet = m_options.m_fleet;
  std::vector<const FleetMember*> peers = fleet.LivePeers();
  std::ranges::shuffle(peers, m_options.m_random);
  std::stable_partition(
    peers.begin(), peers.end(), [&](const FleetMember* aPeer) {
      return aPeer->m_region == fleet.Self().m_region;
    });
  std::vector<Endpoint> chosen;
  for (const FleetMember* peer : peers) {
    if (chosen.size() == m_options.m_peers) {
      break;
    }
    chosen.push_back(peer->m_peerAddress);
  }
  return chosen;
}

void
RunDurationsExchange::AskPeers()
{
  for (Endpoint& peer : ChoosePeers()) {
    asio::co_spawn(m_options.m_executor, Ask(std::move(peer)), asio::detached);
  }
}

Task<void>
RunDurationsExchange::Ask(Endpoint aPeer)
{
  ControlCall call{
    .m_method = kMethod,
    .m_writeParameters = [](PackedWriter& aWriter) { aWriter.pack_nil(); },
    .m_readResult =
      [this](const PackedValue& aResult) {
        m_options.m_serviceEnd.AddPeerRuns(ReadRunSummaries(aResult));
      },
    .m_jsonParameters = [] { return Json::Value(Json::objectValue); },
  };
  try {
    const SteadyTime deadline =
      m_options.m_clock.SteadyNow() + m_options.m_timeout;
    co_await m_options.m_caller.Call(aPeer, std::move(call), deadline);
  } catch (const std::exception& error) {
    m_options.m_metrics.Count("rattanweir_run_durations_failures_total");
    Log(LogLevel::Info,
        "run_durations_unknown",
        { { "peer", aPeer.ToString() }, { "detail", error.what() } });
  }
}

} // namespace rattanweir
