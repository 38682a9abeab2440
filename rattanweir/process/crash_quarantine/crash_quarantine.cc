#include "rattanweir/process/crash_quarantine/crash_quarantine.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::nanoseconds;

// Breaks of a quarantined prompt part that are further apart than this were
// caused by trials.
constexpr std::chrono::seconds kMinTrialDistance{ 60 };

std::size_t
IndexOf(SuspectKind aKind)
{
  return static_cast<std::size_t>(aKind);
}

} // namespace

CrashQuarantine::CrashQuarantine(const CrashQuarantineOptions& aOptions)
  : m_options(aOptions)
  , m_answers{ internal::LatestAnswers(aOptions.m_maxAnswers),
               internal::LatestAnswers(aOptions.m_maxAnswers) }
{
}

void
CrashQuarantine::RecordBreak(const Suspects& aSuspects,
                             const ServerProcess& aServer)
{
  const Break record{ .m_software = aServer.m_software,
                      .m_at = m_options.m_clock.SteadyNow() };
  for (const Suspect& suspect : aSuspects) {
    AddBreak(suspect, aServer.m_incarnation, record);
    m_evidence[suspect].m_requestedAt = record.m_at;
  }
  UpdateGroups();
}

bool
CrashQuarantine::AddBreak(const Suspect& aSuspect,
                          const BackendServerId& aServer,
                          const Break& aBreak)
{
  if (!m_evidence.contains(aSuspect)) {
    MakeRoom(aSuspect.m_kind);
  }
  Evidence& evidence = m_evidence[aSuspect];
  const auto found = evidence.m_breaks.find(aServer);
  if (found == evidence.m_breaks.end() &&
      evidence.m_breaks.size() >= m_options.m_maxBreaks) {
    return false;
  }
  const auto [entry, isNew] = evidence.m_breaks.try_emplace(aServer, aBreak);
  Break& known = entry->second;
  const Break before = known;
  known.m_at = std::min(known.m_at, aBreak.m_at);
  known.m_wasAnswered |= aBreak.m_wasAnswered || LastAnswer(aSuspect);
  known.m_isExcused |=
    aBreak.m_isExcused || IsRefuted(aSuspect, aServer, known.m_at);
  if (!isNew && known.m_isExcused == before.m_isExcused &&
      known.m_wasAnswered == before.m_wasAnswered) {
    return false;
  }
  evidence.m_changedAt = m_options.m_clock.SteadyNow();
  evidence.m_hasNews = true;
  return true;
}

bool
CrashQuarantine::IsRefuted(const Suspect& aSuspect,
                           const BackendServerId& aServer,
                           SteadyTime aAt) const
{
  const std::optional<SteadyTime> answer = LastAnswer(aSuspect);
  if (answer && *answer > aAt) {
    return true;
  }
  const auto response = m_lastResponse.find(aServer);
  return response != m_lastResponse.end() && response->second > aAt &&
         response->second <= aAt + m_options.m_minRestartTime;
}

std::optional<SteadyTime>
CrashQuarantine::LastAnswer(const Suspect& aSuspect) const
{
  return m_answers[IndexOf(aSuspect.m_kind)].Find(aSuspect);
}

// Forgets the suspect with the least evidence if there are too many of a kind;
// of those with equal evidence, one of the owner with the most suspects.
void
CrashQuarantine::MakeRoom(SuspectKind aKind)
{
  const auto isOfKind = [aKind](const auto& aEntry) {
    return aEntry.first.m_kind == aKind;
  };
  if (CountWithEvidence(aKind) < m_options.m_maxSuspects) {
    return;
  }
  std::unordered_map<std::uint32_t, std::ptrdiff_t> countOfOwner;
  for (const auto& [suspect, evidence] : m_evidence) {
    ++countOfOwner[suspect.m_owner];
  }
  const auto rank = [&](const auto& aEntry) {
    return std::tuple(!isOfKind(aEntry),
                      CountBreaks(aEntry.second),
                      -countOfOwner[aEntry.first.m_owner],
                      aEntry.second.m_changedAt);
  };
  m_evidence.erase(std::ranges::min_element(m_evidence, {}, rank));
}

void
CrashQuarantine::RecordAnswer(const Suspects& aSuspects, SteadyTime aSentAt)
{
  bool isChanged = false;
  for (const Suspect& suspect : aSuspects) {
    m_answers[IndexOf(suspect.m_kind)].Record(suspect, aSentAt);
    const auto evidence = m_evidence.find(suspect);
    if (evidence == m_evidence.end()) {
      continue;
    }
    for (auto& [server, record] : evidence->second.m_breaks) {
      if (record.m_at < aSentAt) {
        isChanged |= Excuse(evidence->second, record);
      }
    }
  }
  if (isChanged) {
    UpdateGroups();
  }
}

void
CrashQuarantine::RecordResponse(const BackendServerId& aServer,
                                SteadyTime aSentAt)
{
  SteadyTime& last = m_lastResponse[aServer];
  last = std::max(last, aSentAt);
  bool isChanged = false;
  for (auto& [suspect, evidence] : m_evidence) {
    const auto found = evidence.m_breaks.find(aServer);
    if (found != evidence.m_breaks.end() && aSentAt > found->second.m_at &&
        aSentAt <= found->second.m_at + m_options.m_minRestartTime) {
      isChanged |= Excuse(evidence, found->second);
    }
  }
  if (isChanged) {
    UpdateGroups();
  }
}

bool
CrashQuarantine::Excuse(Evidence& aEvidence, Break& aBreak)
{
  if (std::exchange(aBreak.m_isExcused, true)) {
    return false;
  }
  aEvidence.m_changedAt = m_options.m_clock.SteadyNow();
  aEvidence.m_hasNews = true;
  return true;
}

std::size_t
CrashQuarantine::CountBreaks(const Evidence& aEvidence)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aEvidence.m_breaks, [](const auto& aEntry) {
      return !aEntry.second.m_isExcused;
    }));
}

CrashQuarantine::Servers
CrashQuarantine::CountedServers(const Evidence& aEvidence)
{
  Servers servers;
  for (const auto& [server, record] : aEvidence.m_breaks) {
    if (!record.m_isExcused) {
      servers.insert(server);
    }
  }
  return servers;
}

std::size_t
CrashQuarantine::CountSeparate(const Suspect& aSuspect,
                               const Servers& aServers) const
{
  const Evidence& evidence = m_evidence.at(aSuspect);
  std::vector<const Break*> breaks;
  for (const BackendServerId& server : aServers) {
    breaks.push_back(&evidence.m_breaks.at(server));
  }
  std::ranges::sort(breaks, {}, &Break::m_at);
  std::size_t count = 0;
  std::optional<SteadyTime> counted;
  for (const Break* record : breaks) {
    const bool isUnansweredRequest =
      aSuspect.m_kind == SuspectKind::Request && !record->m_wasAnswered;
    if (isUnansweredRequest || !counted ||
        record->m_at - *counted >= m_options.m_minBreakInterval) {
      count += record->m_wasAnswered ? 1 : 2;
      counted = record->m_at;
    }
  }
  return count;
}

void
CrashQuarantine::UpdateGroups()
{
  m_groups.clear();
  std::map<Suspect, Servers> unexplained;
  for (const auto& [suspect, evidence] : m_evidence) {
    if (CountBreaks(evidence) >= m_options.m_breaksToQuarantine) {
      unexplained.emplace(suspect, CountedServers(evidence));
    }
  }
  for (;;) {
    Suspect worst;
    std::size_t mostBreaks = 0;
    for (const auto& [suspect, servers] : unexplained) {
      const std::size_t breaks = CountSeparate(suspect, servers);
      if (breaks > mostBreaks) {
        worst = suspect;
        mostBreaks = breaks;
      }
    }
    if (mostBreaks < 2 * m_options.m_breaksToQuarantine) {
      return;
    }
    QuarantinedGroup group{ .m_suspects = { worst },
                            .m_servers = unexplained.at(worst) };
    for (const BackendServerId& server : group.m_servers) {
      group.m_lastBreakAt = std::max(
        group.m_lastBreakAt, m_evidence.at(worst).m_breaks.at(server).m_at);
    }
    for (auto& [suspect, servers] : unexplained) {
      const bool isRequest = suspect.m_kind == SuspectKind::Request;
      if (std::ranges::includes(servers, group.m_servers) &&
          !(isRequest && group.HasRequest())) {
        group.m_suspects.insert(suspect);
      }
      if (!isRequest) {
        std::erase_if(servers, [&](const BackendServerId& aServer) {
          return group.m_servers.contains(aServer);
        });
      }
    }
    for (const Suspect& suspect : group.m_suspects) {
      unexplained.erase(suspect);
    }
    m_groups.push_back(std::move(group));
  }
}

const QuarantinedGroup*
CrashQuarantine::FindGroup(const Suspects& aSuspects) const
{
  const auto found =
    std::ranges::find_if(m_groups, [&](const QuarantinedGroup& aGroup) {
      return IsRefusedBy(aGroup, aSuspects);
    });
  return found == m_groups.end() ? nullptr : &*found;
}

bool
CrashQuarantine::IsRefusedBy(const QuarantinedGroup& aGroup,
                             const Suspects& aSuspects)
{
  return std::ranges::all_of(aGroup.m_suspects, [&](const Suspect& aSuspect) {
    return std::ranges::find(aSuspects, aSuspect) != aSuspects.end();
  });
}

QuarantineDecision
CrashQuarantine::Check(
  const Suspects& aSuspects,
  const std::function<std::size_t(const QuarantinedGroup&)>& aRankOf)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  for (const Suspect& suspect : aSuspects) {
    if (const auto evidence = m_evidence.find(suspect);
        evidence != m_evidence.end()) {
      evidence->second.m_requestedAt = now;
    }
  }
  std::vector<const QuarantinedGroup*> tried;
  for (const QuarantinedGroup& group : m_groups) {
    if (!IsRefusedBy(group, aSuspects)) {
      continue;
    }
    const std::optional<SteadyTime> due = NextTrial(group);
    if (!due || now < *due + m_options.m_trialInterval * aRankOf(group)) {
      return QuarantineDecision::Refuse;
    }
    tried.push_back(&group);
  }
  for (const QuarantinedGroup* group : tried) {
    TrialState& state = m_trials[group->m_suspects];
    state.m_triedAt = now;
    state.m_outdatedSince.reset();
  }
  return tried.empty() ? QuarantineDecision::Admit : QuarantineDecision::Trial;
}

std::optional<SteadyTime>
CrashQuarantine::NextTrial(const QuarantinedGroup& aGroup) const
{
  const Evidence& evidence = m_evidence.at(*aGroup.m_suspects.begin());
  bool wasAnswered = false;
  std::vector<SteadyTime> times;
  for (const BackendServerId& server : aGroup.m_servers) {
    times.push_back(evidence.m_breaks.at(server).m_at);
    wasAnswered |= evidence.m_breaks.at(server).m_wasAnswered;
  }
  std::ranges::sort(times);
  std::size_t trials = 0;
  std::size_t trialsOfRequest = 0;
  bool wasTriedEarly = false;
  for (std::size_t index = 1; index < times.size(); ++index) {
    const nanoseconds distance = times[index] - times[index - 1];
    const bool isLate = distance >= m_options.m_firstTrialAfter;
    wasTriedEarly |= isLate;
    trials += distance >= kMinTrialDistance ? 1 : 0;
    trialsOfRequest +=
      isLate && index >= m_options.m_breaksToQuarantine ? 1 : 0;
  }
  if (aGroup.HasRequest() && trialsOfRequest >= m_options.m_maxRequestTrials) {
    return std::nullopt;
  }
  SteadyTime lastAt = aGroup.m_lastBreakAt;
  if (const auto trial = m_trials.find(aGroup.m_suspects);
      trial != m_trials.end()) {
    if (trial->second.m_outdatedSince) {
      return trial->second.m_outdatedSince;
    }
    lastAt = std::max(lastAt, trial->second.m_triedAt);
  }
  if (times.size() <= m_options.m_breaksToQuarantine ||
      (wasAnswered && !wasTriedEarly)) {
    return lastAt + m_options.m_firstTrialAfter;
  }
  if (trials >= m_options.m_trialsAfter.size()) {
    return std::nullopt;
  }
  return lastAt + m_options.m_trialsAfter[trials];
}

bool
CrashQuarantine::MayRetry(const Suspects& aSuspects) const
{
  return std::ranges::all_of(aSuspects, [&](const Suspect& aSuspect) {
    const auto evidence = m_evidence.find(aSuspect);
    const bool mayBeUnanswered = aSuspect.m_kind == SuspectKind::Request;
    return (mayBeUnanswered || LastAnswer(aSuspect)) &&
           (evidence == m_evidence.end() || CountBreaks(evidence->second) <= 1);
  });
}

void
CrashQuarantine::Merge(const std::vector<SuspectReport>& aReports)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  bool isChanged = false;
  for (const SuspectReport& report : aReports) {
    for (const BreakReport& peerBreak : report.m_breaks) {
      const Break record{ .m_software = peerBreak.m_server.m_software,
                          .m_at = now - peerBreak.m_age,
                          .m_isExcused = peerBreak.m_isExcused,
                          .m_wasAnswered = peerBreak.m_wasAnswered };
      isChanged |=
        AddBreak(report.m_suspect, peerBreak.m_server.m_incarnation, record);
    }
    const auto evidence = m_evidence.find(report.m_suspect);
    if (evidence != m_evidence.end()) {
      evidence->second.m_requestedAt =
        std::max(evidence->second.m_requestedAt, now - report.m_requestAge);
      evidence->second.m_isAdvertised = true;
    }
  }
  if (isChanged) {
    UpdateGroups();
  }
}

std::vector<SuspectReport>
CrashQuarantine::ToAdvertise() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<SuspectReport> reports;
  for (const auto& [suspect, evidence] : m_evidence) {
    if (!evidence.m_isAdvertised) {
      continue;
    }
    SuspectReport& report = reports.emplace_back(SuspectReport{
      .m_suspect = suspect, .m_requestAge = now - evidence.m_requestedAt });
    for (const auto& [server, record] : evidence.m_breaks) {
      report.m_breaks.push_back({
        .m_server = { .m_incarnation = server,
                      .m_software = record.m_software },
        .m_age = now - record.m_at,
        .m_isExcused = record.m_isExcused,
        .m_wasAnswered = record.m_wasAnswered,
      });
    }
  }
  std::ranges::stable_sort(reports, {}, [&](const SuspectReport& aReport) {
    const Evidence& evidence = m_evidence.at(aReport.m_suspect);
    return std::pair(-static_cast<std::ptrdiff_t>(CountBreaks(evidence)),
                     now - evidence.m_changedAt);
  });
  reports.resize(std::min(reports.size(), m_options.m_maxAdvertised));
  return reports;
}

bool
CrashQuarantine::TakeNews()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  bool hasNews = false;
  for (auto& [suspect, evidence] : m_evidence) {
    const std::size_t breaks = CountBreaks(evidence);
    const auto first =
      std::ranges::find_if(evidence.m_breaks, [](const auto& aEntry) {
        return !aEntry.second.m_isExcused;
      });
    const bool isOld =
      breaks > 0 && now - first->second.m_at >= m_options.m_advertisementDelay;
    evidence.m_isAdvertised |= breaks > 1 || isOld;
    if (evidence.m_isAdvertised) {
      hasNews |= std::exchange(evidence.m_hasNews, false);
    }
  }
  return hasNews;
}

void
CrashQuarantine::Tick(const std::function<bool(const std::string&)>& aIsRunning)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::erase_if(m_evidence, [&](const auto& aEntry) {
    const Evidence& evidence = aEntry.second;
    const SteadyTime usedAt =
      std::max(evidence.m_requestedAt, evidence.m_changedAt);
    return now - evidence.m_changedAt > m_options.m_excusedMemory &&
           (CountBreaks(evidence) == 0 || now - usedAt > m_options.m_memory);
  });
  UpdateGroups();
  for (const QuarantinedGroup& group : m_groups) {
    const Evidence& evidence = m_evidence.at(*group.m_suspects.begin());
    const bool isRunning =
      std::ranges::any_of(group.m_servers, [&](const auto& aServer) {
        return aIsRunning(evidence.m_breaks.at(aServer).m_software);
      });
    TrialState& state = m_trials[group.m_suspects];
    if (isRunning) {
      state.m_outdatedSince.reset();
    } else if (!state.m_outdatedSince &&
               state.m_triedAt <= group.m_lastBreakAt) {
      state.m_outdatedSince = now;
    }
  }
  std::erase_if(m_trials, [&](const auto& aTrial) {
    return std::ranges::none_of(m_groups, [&](const auto& aGroup) {
      return aGroup.m_suspects == aTrial.first;
    });
  });
}

void
CrashQuarantine::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_lastResponse, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

std::size_t
CrashQuarantine::CountWithEvidence(SuspectKind aKind) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_evidence, [aKind](const auto& aEntry) {
      return aEntry.first.m_kind == aKind;
    }));
}

std::size_t
CrashQuarantine::CountQuarantined(SuspectKind aKind) const
{
  std::set<Suspect> suspects;
  for (const QuarantinedGroup& group : m_groups) {
    suspects.insert(group.m_suspects.begin(), group.m_suspects.end());
  }
  return static_cast<std::size_t>(
    std::ranges::count(suspects, aKind, &Suspect::m_kind));
}

} // namespace rattanweir
