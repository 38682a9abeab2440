// A seeded fleet of instances that gossip, restart and have differing views of
// each other, in simulated time and without sockets. For tests of limits that
// hold for the entire fleet and that each instance enforces locally.
//
//   struct Process : SimulatedProcess { ... };
//   SimulatedFleet<Process> fleet({ .m_instances = 65, .m_seed = 1 });
//   fleet.OnStep([&](std::size_t aIndex, Process& aProcess) { ... });
//   fleet.RestartAll(milliseconds(0));
//   fleet.RunFor(seconds(10));
//
// The instances start when they are restarted first. Instance `i` belongs to
// region `i % Regions()`. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/fleet/fleet_view.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace rattanweir {

// How far the instances' views of each other are from the actual state.
struct ViewFaults
{
  const char* m_name = "accurate";
  // Maximum additional delay of a gossip message, and of other news that an
  // instance reads by itself.
  std::chrono::milliseconds m_gossipDelay{};
  std::chrono::milliseconds m_newsDelay{};
  // Fraction of the other instances of which an instance never learns.
  double m_unknownFraction = 0;
  // Number of instances of the first region that are gone but still known, as
  // a fraction of all running instances.
  double m_goneFraction = 0;
  // Maximum additional delay of a start in a restart of all or most instances,
  // as on busy machines.
  std::chrono::milliseconds m_startDelay{};
  // Fraction of the gossip messages that are lost.
  double m_lostFraction = 0;
};

inline constexpr ViewFaults kAccurateViews{};
inline constexpr ViewFaults kLateViews{ .m_name = "late",
                                        .m_gossipDelay =
                                          std::chrono::milliseconds(500),
                                        .m_newsDelay =
                                          std::chrono::milliseconds(1'500) };
inline constexpr ViewFaults kPartialViews{ .m_name = "partial",
                                           .m_unknownFraction = 0.3 };
inline constexpr ViewFaults kWrongViews{ .m_name = "wrong",
                                         .m_goneFraction = 0.2 };
inline constexpr ViewFaults kStaggeredStarts{
  .m_name = "staggered",
  .m_gossipDelay = std::chrono::milliseconds(300),
  .m_startDelay = std::chrono::milliseconds(2'000),
  .m_lostFraction = 0.2
};
inline constexpr std::array kAllViewFaults{ kAccurateViews,
                                            kLateViews,
                                            kPartialViews,
                                            kWrongViews };

// One process of an instance; derived types add what the test needs.
struct SimulatedProcess
{
  SimulatedProcess(const Clock& aClock, const FleetMember& aSelf)
    : m_fleet({ .m_clock = aClock, .m_self = aSelf })
  {
  }

  // Called before each outgoing message; updates the record in `m_fleet`.
  void UpdateSelf() {}

  FleetView m_fleet;
};

struct SimulatedFleetOptions
{
  std::size_t m_instances = 8;
  std::uint64_t m_seed = 1;
  ViewFaults m_faults;
};

template<class Process>
class SimulatedFleet
{
public:
  using milliseconds = std::chrono::milliseconds;
  using Handler = std::function<void(std::size_t, Process&)>;

  explicit SimulatedFleet(const SimulatedFleetOptions& aOptions)
    : m_faults(aOptions.m_faults)
    , m_random(aOptions.m_seed)
    , m_regions(aOptions.m_instances > 100 ? 11 : 3)
    , m_processes(aOptions.m_instances)
    , m_unknownTo(aOptions.m_instances)
  {
    for (std::set<InstanceId>& unknown : m_unknownTo) {
      for (std::size_t other = 0; other < m_processes.size(); ++other) {
        if (Uniform(0, 1) < m_faults.m_unknownFraction) {
          unknown.insert(IdOf(other));
        }
      }
    }
  }

  // Sets what is called for each process at its start, and for each running
  // process in each step of kStep.
  void OnStart(Handler aHandler) { m_onStart = std::move(aHandler); }
  void OnStep(Handler aHandler) { m_onStep = std::move(aHandler); }

  // Sets what a process adds to each of its gossip messages: a function that
  // the receiver runs.
  using Attachment = std::function<void(Process&)>;
  void OnMessage(std::function<Attachment(Process&)> aAttach)
  {
    m_attach = std::move(aAttach);
  }

  // Sends something to the instance with this address, which runs it.
  void Send(std::size_t aFrom, const Endpoint& aTo, Attachment aContent)
  {
    const std::size_t to = aTo.m_port - std::size_t{ kFirstPort };
    if (to < m_processes.size() && !IsLost()) {
      After(MessageDelay(aFrom, to), [this, to, content = std::move(aContent)] {
        if (m_processes[to]) {
          content(*m_processes[to]);
        }
      });
    }
  }

  void RunFor(milliseconds aDuration)
  {
    const SteadyTime end = m_clock.SteadyNow() + aDuration;
    while (m_clock.SteadyNow() < end) {
      while (!m_events.empty() &&
             m_events.begin()->first <= m_clock.SteadyNow()) {
        const auto event = m_events.extract(m_events.begin());
        event.mapped()();
      }
      for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (m_processes[index] && m_onStep) {
          m_onStep(index, *m_processes[index]);
        }
      }
      m_clock.Advance(kStep);
    }
  }

  // Kills all instances; each starts again after `aDownTime` and up to 0.3 s
  // more, the seeds 1 s after the others.
  void RestartAll(milliseconds aDownTime)
  {
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
      RestartInGroup(index, aDownTime);
    }
  }

  // The same for three in five instances of each region.
  void RestartMost(milliseconds aDownTime)
  {
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
      const std::size_t group = index / m_regions % 5;
      if (group != 0 && group != 4) {
        RestartInGroup(index, aDownTime);
      }
    }
  }

  // Restarts all instances one after the other.
  void RestartInTurn(milliseconds aInterval)
  {
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
      After(aInterval * index,
            [this, index] { Restart(index, milliseconds(300)); });
    }
  }

  // Runs `aEvent` after `aDelay`.
  void After(milliseconds aDelay, std::function<void()> aEvent)
  {
    m_events.emplace(m_clock.SteadyNow() + aDelay, std::move(aEvent));
  }

  // The same, unless the process that the instance has now has ended by then.
  void AfterIn(std::size_t aIndex,
               milliseconds aDelay,
               std::function<void(Process&)> aEvent)
  {
    const std::weak_ptr<Process> process = m_processes[aIndex];
    After(aDelay, [process, event = std::move(aEvent)] {
      if (const auto running = process.lock()) {
        event(*running);
      }
    });
  }

  milliseconds RandomDelay(milliseconds aMax)
  {
    return milliseconds(
      static_cast<int>(Uniform(0, static_cast<double>(aMax.count()))));
  }

  void ForEach(const std::function<void(Process&)>& aFunction)
  {
    for (const std::shared_ptr<Process>& process : m_processes) {
      if (process) {
        aFunction(*process);
      }
    }
  }

  const Clock& GetClock() const { return m_clock; }
  SteadyTime Now() const { return m_clock.SteadyNow(); }
  std::size_t Size() const { return m_processes.size(); }
  std::size_t Regions() const { return m_regions; }
  const ViewFaults& Faults() const { return m_faults; }
  // Returns nullptr if the instance is not running.
  Process* Find(std::size_t aIndex) { return m_processes[aIndex].get(); }

private:
  static constexpr milliseconds kStep{ 20 };
  static constexpr milliseconds kGossipInterval{ 500 };
  static constexpr milliseconds kReadyWithoutPeer{ 1'500 };
  static constexpr std::size_t kSeeds = 3;
  static constexpr std::uint16_t kFirstPort = 1'000;

  static InstanceId IdOf(std::size_t aIndex)
  {
    return InstanceId("i" + std::to_string(aIndex));
  }

  static Endpoint AddressOf(std::size_t aIndex)
  {
    return { .m_address = "10.0.0.1",
             .m_port = static_cast<std::uint16_t>(kFirstPort + aIndex) };
  }

  FleetMember RecordOf(std::size_t aIndex) const
  {
    return { .m_id = IdOf(aIndex),
             .m_incarnation = Incarnation(static_cast<std::uint64_t>(
               m_clock.SteadyNow().time_since_epoch() / milliseconds(1))),
             .m_sequence = 1,
             .m_region = RegionId("r" + std::to_string(aIndex % m_regions)),
             .m_zone = AvailabilityZoneId(
               "z" + std::to_string(aIndex % (2 * m_regions))),
             .m_peerAddress = AddressOf(aIndex) };
  }

  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(m_random);
  }

  void RestartInGroup(std::size_t aIndex, milliseconds aDownTime)
  {
    const milliseconds seedDelay(aIndex < kSeeds ? 1'000 : 0);
    Restart(aIndex,
            aDownTime + seedDelay +
              RandomDelay(milliseconds(300) + m_faults.m_startDelay));
  }

  void Restart(std::size_t aIndex, milliseconds aDownTime)
  {
    m_processes[aIndex].reset();
    After(aDownTime, [this, aIndex] { Start(aIndex); });
  }

  void Start(std::size_t aIndex)
  {
    m_processes[aIndex] = std::make_shared<Process>(m_clock, RecordOf(aIndex));
    Process& process = *m_processes[aIndex];
    process.m_fleet.SetSeeds({ AddressOf(0), AddressOf(1), AddressOf(2) });
    MergeGoneMembers(process);
    if (m_onStart) {
      m_onStart(aIndex, process);
    }
    GossipRound(aIndex, 0);
    AfterIn(aIndex, kReadyWithoutPeer, [this, aIndex](Process&) {
      BecomeReady(aIndex);
    });
  }

  void MergeGoneMembers(Process& aProcess)
  {
    const auto gone = static_cast<std::size_t>(
      m_faults.m_goneFraction * static_cast<double>(m_processes.size()));
    for (std::size_t number = 0; number < gone; ++number) {
      FleetMember member = RecordOf(m_processes.size() + number);
      member.m_region = RegionId("r0");
      const InstanceId sender = member.m_id;
      aProcess.m_fleet.Merge(std::span(&member, 1), sender);
    }
  }

  void GossipRound(std::size_t aIndex, unsigned aRound)
  {
    for (const Endpoint& target : m_processes[aIndex]->m_fleet.ChooseTargets(
           m_random, aRound % 2 == 0)) {
      const std::size_t peer = target.m_port - std::size_t{ kFirstPort };
      if (peer < m_processes.size()) {
        Exchange(aIndex, peer);
      }
    }
    AfterIn(aIndex, kGossipInterval, [this, aIndex, aRound](Process&) {
      GossipRound(aIndex, aRound + 1);
    });
  }

  std::vector<FleetMember> MessageOf(std::size_t aIndex, std::size_t aTo)
  {
    m_processes[aIndex]->UpdateSelf();
    FleetView& fleet = m_processes[aIndex]->m_fleet;
    return fleet.NextMessage(m_random, fleet.Find(IdOf(aTo)));
  }

  void Exchange(std::size_t aFrom, std::size_t aTo)
  {
    SendRecords(aFrom, aTo, MessageOf(aFrom, aTo), [this, aFrom, aTo] {
      SendRecords(aTo, aFrom, MessageOf(aTo, aFrom), [] {});
    });
  }

  bool IsLost()
  {
    return m_faults.m_lostFraction > 0 &&
           Uniform(0, 1) < m_faults.m_lostFraction;
  }

  milliseconds MessageDelay(std::size_t aFrom, std::size_t aTo)
  {
    const bool isLocal = aFrom % m_regions == aTo % m_regions;
    return milliseconds(isLocal ? 2 : 57) +
           RandomDelay(milliseconds(10) + m_faults.m_gossipDelay);
  }

  void SendRecords(std::size_t aFrom,
                   std::size_t aTo,
                   std::vector<FleetMember> aRecords,
                   std::function<void()> aOnMerged)
  {
    if (IsLost()) {
      return;
    }
    Attachment attachment;
    if (m_attach) {
      attachment = m_attach(*m_processes[aFrom]);
    }
    After(MessageDelay(aFrom, aTo),
          [this,
           aFrom,
           aTo,
           records = std::move(aRecords),
           attachment = std::move(attachment),
           onMerged = std::move(aOnMerged)]() mutable {
            if (!m_processes[aTo]) {
              return;
            }
            std::erase_if(records, [&](const FleetMember& aRecord) {
              return m_unknownTo[aTo].contains(aRecord.m_id);
            });
            m_processes[aTo]->m_fleet.Merge(records, IdOf(aFrom));
            if (attachment) {
              attachment(*m_processes[aTo]);
            }
            BecomeReady(aTo);
            onMerged();
          });
  }

  // Announces a process that has become ready to its region.
  void BecomeReady(std::size_t aIndex)
  {
    Process& process = *m_processes[aIndex];
    FleetMember& self = process.m_fleet.Self();
    if (self.m_isReady) {
      return;
    }
    self.m_isReady = true;
    process.UpdateSelf();
    const FleetMember record = process.m_fleet.AdvanceSelf();
    for (const FleetMember* peer : process.m_fleet.LivePeersIn(self.m_region)) {
      const std::size_t target =
        peer->m_peerAddress.m_port - std::size_t{ kFirstPort };
      if (target < m_processes.size()) {
        SendRecords(aIndex, target, { record }, [] {});
      }
    }
  }

  ManualClock m_clock;
  ViewFaults m_faults;
  RandomEngine m_random;
  std::size_t m_regions;
  std::vector<std::shared_ptr<Process>> m_processes;
  std::vector<std::set<InstanceId>> m_unknownTo;
  std::multimap<SteadyTime, std::function<void()>> m_events;
  Handler m_onStart;
  Handler m_onStep;
  std::function<Attachment(Process&)> m_attach;
};

} // namespace rattanweir
