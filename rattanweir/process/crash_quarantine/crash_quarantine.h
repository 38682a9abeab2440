// Users' platform (settings with `fleet`): finds the requests that crash
// backend servers, so that they are refused. What a crash is blamed on, a
// suspect, is a part of a prompt or a whole request.
//
//   CrashQuarantine quarantine({ .m_clock = clock });
//   quarantine.RecordBreak(suspects, { .m_incarnation = incarnation, ... });
//   quarantine.RecordAnswer(suspects, sentAt);
//   quarantine.Merge(quarantineOfPeer.ToAdvertise());
//   if (quarantine.Check(suspects, rank) == QuarantineDecision::Refuse) ...
//
// The evidence against a suspect are servers that broke the connection before
// they had begun to answer a request with it. A crash breaks off all requests
// of the server, so most of that evidence is false. It is dropped once a
// request with the suspect that was sent after the break is answered, by any
// server and to any instance, or once the server responds again, which shows
// that it did not crash. A suspect whose requests were broken off by several
// servers without an answer in between is put in quarantine.
//
// Servers that die at the same time count once against a prompt part, since a
// lost zone or a power failure also breaks off many requests with one part. A
// request that was never answered is rarely at several servers at once; each
// server counts against it. If it was answered before, it counts like a part.
//
// A quarantine explains all crashes that the suspect was involved in: these do
// not count against prompt parts. Suspects that were involved in the same
// crashes cannot be told apart and form a group; requests with all of them are
// refused, requests with some are not, and their outcome decides. A request is
// not excused by the quarantine of another one: both may crash servers that
// they share. So each is judged by itself, and a sound one by its trial.
//
// From time to time, one instance lets one request with a quarantined suspect
// through, to find out whether it still crashes servers. What is known is
// exchanged between instances; evidence of two instances is merged without
// regard to its order. Times are sent as ages, since the wall clocks of
// instances may differ.
//
// The memory is bounded: see CrashQuarantineOptions. Prompt parts and requests
// have their own bounds, and among requests those of the client account with
// the most of them yield first. Only servers produce evidence; a caller that
// ends its own request does not.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/crash_quarantine/crash_suspect.h"
#include "rattanweir/process/crash_quarantine/internal/latest_answers.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanweir {

// The process of a backend server to which a request was sent.
struct ServerProcess
{
  BackendServerId m_incarnation;
  // The pool and the version of its software; servers with the same value run
  // the same software.
  std::string m_software;
};

// One server that broke off a request with a suspect.
struct BreakReport
{
  ServerProcess m_server;
  std::chrono::nanoseconds m_age{};
  // The break says nothing about the suspect: the suspect was answered since,
  // or the server did not crash.
  bool m_isExcused = false;
  // The suspect had been answered before the break, at any instance.
  bool m_wasAnswered = false;
};

// What an instance knows of one suspect, for its peers.
struct SuspectReport
{
  Suspect m_suspect;
  // Time since a request with the suspect last arrived at any instance.
  std::chrono::nanoseconds m_requestAge{};
  std::vector<BreakReport> m_breaks;
};

enum class QuarantineDecision
{
  Admit,
  // The request is to be sent although it is in quarantine.
  Trial,
  Refuse,
};

// Suspects in quarantine that cannot be told apart; most groups have one.
struct QuarantinedGroup
{
  std::set<Suspect> m_suspects;
  // The servers that the group explains.
  std::set<BackendServerId> m_servers;
  // When the last of them broke the connection.
  SteadyTime m_lastBreakAt;

  // Returns whether a whole request is in the group; there is at most one.
  bool HasRequest() const
  {
    return !m_suspects.empty() &&
           m_suspects.rbegin()->m_kind == SuspectKind::Request;
  }
};

struct CrashQuarantineOptions
{
  const Clock& m_clock;
  // Number of breaks that put a suspect in quarantine. A break counts half if
  // the suspect had been answered before: while many servers crash, requests
  // with common prompt parts are broken off again and again.
  std::size_t m_breaksToQuarantine = 3;
  // Breaks within this time count as one, except for a request that was never
  // answered.
  std::chrono::nanoseconds m_minBreakInterval{ std::chrono::milliseconds(250) };
  // A response to a request that was sent within this time after a break shows
  // that the server did not crash. Later, a new process may have its address.
  std::chrono::nanoseconds m_minRestartTime{ std::chrono::milliseconds(1'500) };
  // How long a suspect's first break is kept back from peers: within this time,
  // parts that are requested often are answered again.
  std::chrono::nanoseconds m_advertisementDelay{ std::chrono::milliseconds(
    400) };
  // Time from the last break until a quarantined suspect is tried: first a
  // short one, if there are few breaks or the suspect had been answered before,
  // then one time after the other. After the last one, the suspect is tried
  // only on new software.
  std::chrono::nanoseconds m_firstTrialAfter{ std::chrono::seconds(10) };
  std::vector<std::chrono::nanoseconds> m_trialsAfter{ std::chrono::minutes(2),
                                                       std::chrono::minutes(10),
                                                       std::chrono::hours(1) };
  // Maximum number of crashes by trials of a group with a whole request; after
  // them, the group is not tried while it is remembered.
  std::size_t m_maxRequestTrials = 2;
  // Additional time for each instance that precedes this one in the order in
  // which instances try a group.
  std::chrono::nanoseconds m_trialInterval{ std::chrono::seconds(5) };
  // Time without a request after which a suspect is forgotten, and without a
  // change for a suspect of which all breaks are excused.
  std::chrono::nanoseconds m_memory{ std::chrono::minutes(10) };
  std::chrono::nanoseconds m_excusedMemory{ std::chrono::minutes(1) };
  // Maximum number of suspects of one kind with evidence, of breaks of one
  // suspect, of suspects of one kind whose latest answer is remembered, and of
  // suspects in one message.
  std::size_t m_maxSuspects = 512;
  std::size_t m_maxBreaks = 64;
  std::size_t m_maxAnswers = 4'096;
  std::size_t m_maxAdvertised = 32;
};

class CrashQuarantine
{
public:
  explicit CrashQuarantine(const CrashQuarantineOptions& aOptions);

  // Records that the server broke the connection before it had begun to answer
  // a request with these suspects.
  void RecordBreak(const Suspects& aSuspects, const ServerProcess& aServer);

  // Records that a request with these suspects that was sent at this time has
  // been answered.
  void RecordAnswer(const Suspects& aSuspects, SteadyTime aSentAt);

  // Records that the server responded to a request that was sent at this time.
  void RecordResponse(const BackendServerId& aServer, SteadyTime aSentAt);

  // Decides on a request that has arrived. `aRankOf` returns how many instances
  // precede this one in the order in which they try the group. A decision for a
  // trial is given once; the next one comes only after the following interval.
  QuarantineDecision Check(
    const Suspects& aSuspects,
    const std::function<std::size_t(const QuarantinedGroup&)>& aRankOf);

  // Returns the group because of which requests with these suspects are
  // refused, or nullptr. Valid until the next call that changes the object.
  const QuarantinedGroup* FindGroup(const Suspects& aSuspects) const;

  bool IsQuarantined(const Suspects& aSuspects) const
  {
    return FindGroup(aSuspects) != nullptr;
  }

  // Returns whether a request that a server broke off before it had begun to
  // answer may be sent to another server: its prompt parts are known to be
  // answered, and this break is the only one.
  bool MayRetry(const Suspects& aSuspects) const;

  // Merges what a peer knows.
  void Merge(const std::vector<SuspectReport>& aReports);

  // Returns what is to be told to peers.
  std::vector<SuspectReport> ToAdvertise() const;

  // Returns true if there is something new to tell since the last call.
  bool TakeNews();

  // Forgets what is outdated. `aIsRunning` returns whether a server with this
  // software is registered. Call periodically.
  void Tick(const std::function<bool(const std::string&)>& aIsRunning);

  // Removes the response times of all servers that are not in `aListed`.
  void KeepOnly(const std::set<BackendServerId>& aListed);

  const std::vector<QuarantinedGroup>& Groups() const { return m_groups; }

  // Returns the number of suspects of this kind against which there is
  // evidence, and of those in quarantine.
  std::size_t CountWithEvidence(SuspectKind aKind) const;
  std::size_t CountQuarantined(SuspectKind aKind) const;

private:
  struct Break
  {
    std::string m_software;
    SteadyTime m_at;
    bool m_isExcused = false;
    bool m_wasAnswered = false;
  };
  // What is known of one suspect.
  struct Evidence
  {
    std::map<BackendServerId, Break> m_breaks;
    SteadyTime m_requestedAt;
    SteadyTime m_changedAt;
    // Peers are told of the suspect, and they were not told of its latest
    // change.
    bool m_isAdvertised = false;
    bool m_hasNews = false;
  };
  // The trials of one group at this instance.
  struct TrialState
  {
    // When the latest trial began; the epoch if none.
    SteadyTime m_triedAt;
    // Since when no server runs the software on which the group was found; a
    // trial is due then.
    std::optional<SteadyTime> m_outdatedSince;
  };

  using Servers = std::set<BackendServerId>;

  // Adds a break, or merges it with a known one. Returns true if that changed
  // what is known.
  bool AddBreak(const Suspect& aSuspect,
                const BackendServerId& aServer,
                const Break& aBreak);
  bool IsRefuted(const Suspect& aSuspect,
                 const BackendServerId& aServer,
                 SteadyTime aAt) const;
  std::optional<SteadyTime> LastAnswer(const Suspect& aSuspect) const;
  // Returns false if the break was excused already.
  bool Excuse(Evidence& aEvidence, Break& aBreak);
  void MakeRoom(SuspectKind aKind);
  static bool IsRefusedBy(const QuarantinedGroup& aGroup,
                          const Suspects& aSuspects);
  // Returns the number of breaks that count against the suspect, and their
  // servers.
  static std::size_t CountBreaks(const Evidence& aEvidence);
  static Servers CountedServers(const Evidence& aEvidence);
  // Returns twice the number of breaks by these servers that count as separate.
  std::size_t CountSeparate(const Suspect& aSuspect,
                            const Servers& aServers) const;
  void UpdateGroups();
  std::optional<SteadyTime> NextTrial(const QuarantinedGroup& aGroup) const;

  CrashQuarantineOptions m_options;
  std::map<Suspect, Evidence> m_evidence;
  std::vector<QuarantinedGroup> m_groups;
  // By the suspects of the group.
  std::map<std::set<Suspect>, TrialState> m_trials;
  // By kind.
  std::array<internal::LatestAnswers, kSuspectKinds> m_answers;
  std::map<BackendServerId, SteadyTime> m_lastResponse;
};

} // namespace rattanweir
