// Load and health of each backend server, as observed in this instance's own
// traffic. Used by both paths: the gateway and the pipeline.
//
//   BackendView view({ .m_clock = clock });
//   view.AddDispatch(id, 1'200);
//   view.ReportLoad(id, 30'000);
//   view.StartResponse(id, 1'200);
//   view.EndDispatch(id, { .m_load = 1'200, .m_hasResponseStarted = true });
//   const BackendState state = view.StateOf(id);
//
// A server reports its load with its responses, so a report can be old. The
// load dispatched since the latest report is therefore counted separately. Both
// use the server's own unit: tokens for a model engine, calls for a plain
// service.
//
// Consecutive failures eject a server, which means that it receives no requests
// during a back-off, and each further failure doubles the back-off. A draining
// server receives no new requests; draining is known from the published list
// (not kept here), from the server's own signal, or from a peer.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rattanweir {

// What the end of a request attempt says about the health of its server.
enum class AttemptOutcome
{
  Succeeded,
  Failed,
  // The connection could not be opened or was lost. Ejects the server
  // immediately.
  Unreachable,
  // The attempt was ended by this instance or the caller.
  Neutral,
};

// The load that a backend server last reported.
struct ReportedLoad
{
  std::uint64_t m_load = 0;
  // When this instance received the report.
  SteadyTime m_at;
};

// The number of requests that a backend server last reported, over all gateway
// instances.
struct ReportedQueue
{
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  // Number of requests that the server processes concurrently.
  unsigned m_slots = 0;
  // When this instance received the report.
  SteadyTime m_at;
};

struct BackendState
{
  // Requests of this instance in flight at the server, and their total load.
  std::uint32_t m_inFlight = 0;
  std::uint64_t m_loadInFlight = 0;
  // The part of m_loadInFlight whose responses have not started.
  std::uint64_t m_loadAwaitingResponse = 0;
  std::optional<ReportedLoad> m_load;
  // Load that this instance dispatched since m_load was reported.
  std::uint64_t m_loadSinceReport = 0;
  std::optional<ReportedQueue> m_queue;
  // Requests of this instance that were dispatched, and that ended, since
  // m_queue was reported.
  std::uint32_t m_dispatchesSinceQueueReport = 0;
  std::uint32_t m_endsSinceQueueReport = 0;
  // Moving average of the part of the time to first byte that the request's own
  // work does not explain. Decays with age.
  std::chrono::nanoseconds m_startDelay{};
  // Moving average of failed attempts, from 0 to 1. Decays with age.
  double m_failureRate = 0;
  bool m_isDraining = false;
  // End of the ejection. Callers may still use the server if too much of its
  // pool is ejected.
  std::optional<SteadyTime> m_ejectedUntil;
  // End of the pause for which the server asked this instance, if any.
  std::optional<SteadyTime> m_pausedUntil;
  // The server has asked for a pause, and has not responded since without
  // asking for another one.
  bool m_isReturning = false;
};

// How a dispatch ended.
struct EndedDispatch
{
  std::uint64_t m_load = 0;
  // StartResponse was called for this dispatch.
  bool m_hasResponseStarted = false;
  AttemptOutcome m_outcome = AttemptOutcome::Neutral;
};

struct BackendViewOptions
{
  const Clock& m_clock;
  // Number of consecutive failures that eject a server.
  std::uint32_t m_failuresToEject = 3;
  // Length of the first ejection, and the upper bound of later ones.
  std::chrono::nanoseconds m_minEjectionTime{ std::chrono::seconds(1) };
  std::chrono::nanoseconds m_maxEjectionTime{ std::chrono::seconds(30) };
  // How long after its last receipt a draining signal is valid. After that time
  // the server may be in use again under the same id.
  std::chrono::nanoseconds m_drainingSignalLifetime{ std::chrono::minutes(10) };
  // Weight of the newest sample in the moving averages m_failureRate and
  // m_startDelay.
  double m_newestSampleWeight = 0.2;
  // Half-life of the moving averages.
  std::chrono::nanoseconds m_observationHalfLife{ std::chrono::seconds(2) };
};

class BackendView
{
public:
  explicit BackendView(const BackendViewOptions& aOptions);

  // Records that a request with this load was sent to the server.
  void AddDispatch(const BackendServerId& aId, std::uint64_t aLoad);
  // Records that the response head was received. Call at most once per
  // dispatch.
  void StartResponse(const BackendServerId& aId, std::uint64_t aLoad);
  // Records the end of a dispatch and its outcome.
  void EndDispatch(const BackendServerId& aId, const EndedDispatch& aDispatch);

  // Records a load report and resets m_loadSinceReport.
  void ReportLoad(const BackendServerId& aId, std::uint64_t aLoad);

  // Records the request counts that the server sent with a response, and resets
  // the counts since the latest report.
  void ReportQueue(const BackendServerId& aId,
                   unsigned aRunning,
                   unsigned aWaiting,
                   unsigned aSlots);

  // Adds a sample to m_startDelay: the part of the time to first byte that the
  // request's own work does not explain.
  void ObserveStartDelay(const BackendServerId& aId,
                         std::chrono::nanoseconds aDelay);

  // Records that the server asked this instance for a pause. Never shortens
  // one.
  void Pause(const BackendServerId& aId, std::chrono::nanoseconds aDuration);
  // Records a response that asks for no pause. Responses to requests that were
  // sent before the end of the pause say nothing about what follows it.
  void RecordNoPause(const BackendServerId& aId, SteadyTime aSentAt);

  // Records that the path to the server was restored: earlier failures say
  // nothing about the server, so that its ejection ends.
  void RecordRestoredPath(const BackendServerId& aId);

  // Records the server's own draining signal, which is advertised to peers.
  void MarkDraining(const BackendServerId& aId);
  // Records that a peer advertised the server as draining. This is not
  // advertised further, so that it cannot circulate among the instances.
  void MarkDrainingByPeer(const BackendServerId& aId);

  // Returns a default state for an unknown server.
  BackendState StateOf(const BackendServerId& aId) const;

  // Returns the servers whose own draining signal is still valid.
  std::vector<BackendServerId> DrainingByOwnSignal() const;

  // Removes the servers that are not in `aListed` and have no request in
  // flight.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  struct Entry
  {
    BackendState m_state;
    std::uint32_t m_consecutiveFailures = 0;
    // When the moving averages in m_state were last updated.
    SteadyTime m_failureRateAt;
    SteadyTime m_startDelayAt;
    // When the server's own signal, or a peer's, was last received.
    std::optional<SteadyTime> m_drainingSignalAt;
    std::optional<SteadyTime> m_drainingByPeerAt;
  };

  bool IsSignalCurrent(const std::optional<SteadyTime>& aReceivedAt) const;
  void AddFailure(Entry& aEntry) const;
  void RecordOutcome(Entry& aEntry, double aFailure) const;
  // Returns the weight of an observation made at that time: 1 for now, 0.5 for
  // one half-life ago.
  double DecayFactor(SteadyTime aObservedAt) const;

  BackendViewOptions m_options;
  std::map<BackendServerId, Entry> m_entries;
};

} // namespace rattanweir
