// What this instance knows of each backend server from its own traffic.
//
//   BackendView view({ .m_clock = clock });
//   view.AddDispatch(id, 1'200);
//   view.ReportLoad(id, 30'000);
//   view.StartResponse(id, 1'200);
//   view.EndDispatch(id, { .m_load = 1'200, .m_hasBegun = true });
//   const BackendState state = view.StateOf(id);
//
// Load reports come with answers and age; dispatches made since the newest
// report are counted beside it. Both are in the unit in which the server
// reports: tokens for a model engine, calls for a plain service. Consecutive
// failures eject a server for a back-off that doubles. A server known to leave
// gets no new work: by the published list, by its own signal, or by a peer's
// word. For one thread.

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

// How an attempt at a backend server ended, as far as its health goes.
enum class AttemptOutcome
{
  Answered,
  Failed,
  // No connection, or it went dead: ejects at once.
  Unreachable,
  // Ended by us or the caller; says nothing about the server.
  Neutral,
};

// The load that a backend server reported of itself.
struct ReportedLoad
{
  std::uint64_t m_load = 0;
  SteadyTime m_at;
};

// The requests that a backend server said it has, from all callers together.
struct ReportedQueue
{
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  // How many it processes at once.
  unsigned m_slots = 0;
  SteadyTime m_at;
};

struct BackendState
{
  // Requests of this instance that it holds now, and their load.
  std::uint32_t m_inFlight = 0;
  std::uint64_t m_loadInFlight = 0;
  // The part of that load whose answers have not begun.
  std::uint64_t m_loadUnanswered = 0;
  std::optional<ReportedLoad> m_load;
  // The load that this instance dispatched to it since that report.
  std::uint64_t m_dispatchedSince = 0;
  std::optional<ReportedQueue> m_queue;
  // Requests dispatched by this instance since that report, and ended since.
  std::uint32_t m_dispatchesSinceQueue = 0;
  std::uint32_t m_endsSinceQueue = 0;
  // By how much later than the request's own work explains recent answers
  // began; fades with age.
  std::chrono::nanoseconds m_startDelay{};
  // Part of the recent attempts that failed, from 0 to 1; fades with age.
  double m_failureShare = 0;
  bool m_isDraining = false;
  // Gets no work before this, unless too much of its pool is ejected.
  std::optional<SteadyTime> m_ejectedUntil;
};

// A dispatch at its end.
struct EndedDispatch
{
  std::uint64_t m_load = 0;
  // StartResponse was called for it.
  bool m_hasBegun = false;
  AttemptOutcome m_outcome = AttemptOutcome::Neutral;
};

struct BackendViewOptions
{
  const Clock& m_clock;
  std::uint32_t m_failuresToEject = 3;
  std::chrono::nanoseconds m_firstEjection{ std::chrono::seconds(1) };
  std::chrono::nanoseconds m_longestEjection{ std::chrono::seconds(30) };
  // A signal of leaving holds this long after it was last heard. The server
  // may come back under the same id after that.
  std::chrono::nanoseconds m_drainingSignalLifetime{ std::chrono::minutes(10) };
  // The weight of the newest attempt in the failure share, and of the newest
  // answer in the start delay.
  double m_newestWeight = 0.2;
  // What was observed counts for half after this time.
  std::chrono::nanoseconds m_observationHalfLife{ std::chrono::seconds(2) };
};

class BackendView
{
public:
  explicit BackendView(const BackendViewOptions& aOptions);

  // A request of this load goes there.
  void AddDispatch(const BackendServerId& aId, std::uint64_t aLoad);
  // The head of its answer has come; at most once for a dispatch.
  void StartResponse(const BackendServerId& aId, std::uint64_t aLoad);
  void EndDispatch(const BackendServerId& aId, const EndedDispatch& aDispatch);

  void ReportLoad(const BackendServerId& aId, std::uint64_t aLoad);

  // The server's own count of its requests, as it came with an answer.
  void ReportQueue(const BackendServerId& aId,
                   unsigned aRunning,
                   unsigned aWaiting,
                   unsigned aSlots);

  // An answer began this much later than its own work explains.
  void ObserveStartDelay(const BackendServerId& aId,
                         std::chrono::nanoseconds aDelay);

  // The server's own signal; told to peers.
  void MarkDraining(const BackendServerId& aId);
  // A peer's word; not told on, so that it cannot circulate.
  void MarkDrainingByPeer(const BackendServerId& aId);

  BackendState StateOf(const BackendServerId& aId) const;

  // Servers whose own signal of leaving still holds.
  std::vector<BackendServerId> DrainingByOwnSignal() const;

  // Forgets the servers that are not listed any more and hold no request.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  struct Entry
  {
    BackendState m_state;
    std::uint32_t m_failures = 0;
    SteadyTime m_failureShareAt;
    SteadyTime m_startDelayAt;
    std::optional<SteadyTime> m_drainingByOwnSignal;
    std::optional<SteadyTime> m_drainingByPeer;
  };

  bool IsHeld(const std::optional<SteadyTime>& aHeardAt) const;
  void AddFailure(Entry& aEntry) const;
  void NoteOutcome(Entry& aEntry, double aFailure) const;
  // What is left of an observation of that time: 1 now, 0.5 a half-life later.
  double Remainder(SteadyTime aObservedAt) const;

  BackendViewOptions m_options;
  std::map<BackendServerId, Entry> m_entries;
};

} // namespace rattanweir
