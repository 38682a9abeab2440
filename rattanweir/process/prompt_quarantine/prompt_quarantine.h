// Users' platform (settings with `fleet`): finds the prompt parts that crash
// model engines, so that requests with such a part are refused.
//
//   PromptQuarantine quarantine({ .m_clock = clock });
//   quarantine.RecordBreak(parts, { .m_engine = incarnation, ... });
//   quarantine.RecordAnswer(parts, sentAt);
//   quarantine.Merge(quarantineOfPeer.ToAdvertise());
//   if (quarantine.Check(parts, rank) == QuarantineDecision::Refuse) ...
//
// The evidence against a part are engines that broke the connection before they
// had begun to answer a request with it. A crash breaks off all requests of the
// engine, so most of that evidence is false. It is dropped once a request with
// the part that was sent after the break is answered, by any engine and to any
// instance, or once the engine responds again, which shows that it did not
// crash. A part whose requests were broken off by several engines, one after
// the other, without an answer in between is put in quarantine. Engines that
// die at the same time count once, since a lost zone or a power failure also
// breaks off many requests of one part.
//
// A quarantine explains all crashes that the part was involved in: these do not
// count against other parts. Parts that were involved in the same crashes
// cannot be told apart; requests with all of them are refused, requests with
// some are not, and their outcome decides.
//
// From time to time, one instance lets one request with a quarantined part
// through, to find out whether it still crashes engines. What is known is
// exchanged between instances; evidence of two instances is merged without
// regard to its order. Times are sent as ages, since the wall clocks of
// instances may differ.
//
// The memory is bounded: see PromptQuarantineOptions. Only engines produce
// evidence; a caller that ends its own request does not.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanweir {

// Identifies a prompt part, whatever precedes it in the prompt.
enum class PartKey : std::uint64_t
{
};

using PartKeys = std::vector<PartKey>;

// Returns the key of the part with this id.
PartKey
PartKeyOf(std::string_view aId);

// Returns the key as it appears in logs and reports, in hexadecimal.
std::string
PartKeyText(PartKey aKey);

// The process of an engine to which a request was sent.
struct EngineProcess
{
  BackendServerId m_incarnation;
  // The pool and the version of its software; engines with the same value run
  // the same software.
  std::string m_software;
};

// One engine that broke off a request with a part.
struct BreakReport
{
  EngineProcess m_engine;
  std::chrono::nanoseconds m_age{};
  // The break says nothing about the part: the part was answered since, or the
  // engine did not crash.
  bool m_isExcused = false;
  // The part had been answered before the break, at any instance.
  bool m_wasAnswered = false;
};

// What an instance knows of one part, for its peers.
struct PartReport
{
  PartKey m_part{};
  // Time since a request with the part last arrived at any instance.
  std::chrono::nanoseconds m_requestAge{};
  std::vector<BreakReport> m_breaks;
};

enum class QuarantineDecision
{
  Admit,
  // The request is to be sent although it has quarantined parts.
  Trial,
  Refuse,
};

// Parts in quarantine that cannot be told apart; most groups have one part.
struct QuarantinedGroup
{
  std::set<PartKey> m_parts;
  // The engines that the group explains.
  std::set<BackendServerId> m_engines;
  // When the last of them broke the connection.
  SteadyTime m_lastBreakAt;
};

struct PromptQuarantineOptions
{
  const Clock& m_clock;
  // Number of breaks, one after the other, that put a part in quarantine. A
  // break counts half if the part had been answered before: while many engines
  // crash, requests with common parts are broken off again and again.
  std::size_t m_breaksToQuarantine = 3;
  // Breaks within this time count as one.
  std::chrono::nanoseconds m_minBreakInterval{ std::chrono::milliseconds(250) };
  // A response to a request that was sent within this time after a break shows
  // that the engine did not crash. Later, a new process may have its address.
  std::chrono::nanoseconds m_minRestartTime{ std::chrono::milliseconds(1'500) };
  // How long a part's first break is kept back from peers: within this time,
  // parts that are requested often are answered again.
  std::chrono::nanoseconds m_advertisementDelay{ std::chrono::milliseconds(
    400) };
  // Time from the last break until a quarantined part is tried: first a short
  // one, if there are few breaks or the part had been answered before, then one
  // time after the other. After the last one, the part is tried only on new
  // software.
  std::chrono::nanoseconds m_firstTrialAfter{ std::chrono::seconds(10) };
  std::vector<std::chrono::nanoseconds> m_trialsAfter{ std::chrono::minutes(2),
                                                       std::chrono::minutes(10),
                                                       std::chrono::hours(1) };
  // Additional time for each instance that precedes this one in the order in
  // which instances try a part.
  std::chrono::nanoseconds m_trialInterval{ std::chrono::seconds(5) };
  // Time without a request after which a part is forgotten, and without a
  // change for a part of which all breaks are excused.
  std::chrono::nanoseconds m_memory{ std::chrono::minutes(10) };
  std::chrono::nanoseconds m_excusedMemory{ std::chrono::minutes(1) };
  // Maximum number of parts with evidence, of breaks of one part, of parts
  // whose latest answer is remembered, and of parts in one message.
  std::size_t m_maxParts = 512;
  std::size_t m_maxBreaks = 64;
  std::size_t m_maxAnswers = 4'096;
  std::size_t m_maxAdvertised = 32;
};

class PromptQuarantine
{
public:
  explicit PromptQuarantine(const PromptQuarantineOptions& aOptions);

  // Records that the engine broke the connection before it had begun to answer
  // a request with these parts.
  void RecordBreak(const PartKeys& aParts, const EngineProcess& aEngine);

  // Records that a request with these parts that was sent at this time has been
  // answered.
  void RecordAnswer(const PartKeys& aParts, SteadyTime aSentAt);

  // Records that the engine responded to a request that was sent at this time.
  void RecordResponse(const BackendServerId& aEngine, SteadyTime aSentAt);

  // Decides on a request that has arrived. `aRankOf` returns how many instances
  // precede this one in the order in which they try the group. A decision for a
  // trial is given once; the next one comes only after the following interval.
  QuarantineDecision Check(
    const PartKeys& aParts,
    const std::function<std::size_t(const QuarantinedGroup&)>& aRankOf);

  // Returns whether requests with these parts are refused.
  bool IsQuarantined(const PartKeys& aParts) const;

  // Returns whether a request that an engine broke off before it had begun to
  // answer may be sent to another engine: its parts are known to be answered,
  // and this break is the only one.
  bool MayRetry(const PartKeys& aParts) const;

  // Merges what a peer knows.
  void Merge(const std::vector<PartReport>& aReports);

  // Returns what is to be told to peers.
  std::vector<PartReport> ToAdvertise() const;

  // Returns true if there is something new to tell since the last call.
  bool TakeNews();

  // Forgets what is outdated. `aIsRunning` returns whether an engine with this
  // software is registered. Call periodically.
  void Tick(const std::function<bool(const std::string&)>& aIsRunning);

  // Removes the response times of all engines that are not in `aListed`.
  void KeepOnly(const std::set<BackendServerId>& aListed);

  const std::vector<QuarantinedGroup>& Groups() const { return m_groups; }
  std::size_t PartsWithEvidence() const { return m_parts.size(); }

private:
  struct Break
  {
    std::string m_software;
    SteadyTime m_at;
    bool m_isExcused = false;
    bool m_wasAnswered = false;
  };
  struct Part
  {
    std::map<BackendServerId, Break> m_breaks;
    SteadyTime m_requestedAt;
    SteadyTime m_changedAt;
    // Peers are told of the part, and they were not told of its latest change.
    bool m_isAdvertised = false;
    bool m_hasNews = false;
  };
  struct Answer
  {
    PartKey m_part{};
    SteadyTime m_sentAt;
  };
  // The trials of one group at this instance.
  struct TrialState
  {
    // When the latest trial began; the epoch if none.
    SteadyTime m_triedAt;
    // Since when no engine runs the software on which the group was found; a
    // trial is due then.
    std::optional<SteadyTime> m_outdatedSince;
  };

  using Engines = std::set<BackendServerId>;

  // Adds a break, or merges it with a known one. Returns true if that changed
  // what is known.
  bool AddBreak(PartKey aPart,
                const BackendServerId& aEngine,
                const Break& aBreak);
  bool IsRefuted(PartKey aPart,
                 const BackendServerId& aEngine,
                 SteadyTime aAt) const;
  std::optional<SteadyTime> LastAnswer(PartKey aPart) const;
  // Returns false if the break was excused already.
  bool Excuse(Part& aPart, Break& aBreak);
  void MakeRoom();
  static bool HasAllOf(const PartKeys& aParts, const QuarantinedGroup& aGroup);
  // Returns the engines whose breaks count against the part.
  static Engines CountedEngines(const Part& aPart);
  // Returns twice the number of breaks by these engines, one after the other.
  std::size_t CountInTurn(const Part& aPart, const Engines& aEngines) const;
  void UpdateGroups();
  std::optional<SteadyTime> NextTrial(const QuarantinedGroup& aGroup) const;

  PromptQuarantineOptions m_options;
  std::map<PartKey, Part> m_parts;
  std::vector<QuarantinedGroup> m_groups;
  // By the parts of the group.
  std::map<std::set<PartKey>, TrialState> m_trials;
  // Latest answers, the most recent first.
  std::list<Answer> m_answers;
  std::unordered_map<PartKey, std::list<Answer>::iterator> m_answerOf;
  std::map<BackendServerId, SteadyTime> m_lastResponse;
};

} // namespace rattanweir
