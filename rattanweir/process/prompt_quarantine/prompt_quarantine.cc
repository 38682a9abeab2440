#include "rattanweir/process/prompt_quarantine/prompt_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::nanoseconds;

// Breaks of a quarantined part that are further apart than this were caused by
// trials.
constexpr std::chrono::seconds kMinTrialDistance{ 60 };

} // namespace

PartKey
PartKeyOf(std::string_view aId)
{
  return static_cast<PartKey>(XXH64(aId.data(), aId.size(), 0));
}

std::string
PartKeyText(PartKey aKey)
{
  std::array<char, 17> text{};
  std::snprintf(
    text.data(), text.size(), "%016llx", static_cast<unsigned long long>(aKey));
  return text.data();
}

PromptQuarantine::PromptQuarantine(const PromptQuarantineOptions& aOptions)
  : m_options(aOptions)
{
}

void
PromptQuarantine::RecordBreak(const PartKeys& aParts,
                              const EngineProcess& aEngine)
{
  const Break record{ .m_software = aEngine.m_software,
                      .m_at = m_options.m_clock.SteadyNow() };
  for (const PartKey part : aParts) {
    AddBreak(part, aEngine.m_incarnation, record);
    m_parts[part].m_requestedAt = record.m_at;
  }
  UpdateGroups();
}

bool
PromptQuarantine::AddBreak(PartKey aPart,
                           const BackendServerId& aEngine,
                           const Break& aBreak)
{
  if (!m_parts.contains(aPart)) {
    MakeRoom();
  }
  Part& part = m_parts[aPart];
  const auto found = part.m_breaks.find(aEngine);
  if (found == part.m_breaks.end() &&
      part.m_breaks.size() >= m_options.m_maxBreaks) {
    return false;
  }
  const auto [entry, isNew] = part.m_breaks.try_emplace(aEngine, aBreak);
  Break& known = entry->second;
  known.m_at = std::min(known.m_at, aBreak.m_at);
  known.m_wasAnswered |= aBreak.m_wasAnswered || LastAnswer(aPart);
  const bool wasExcused = !isNew && known.m_isExcused;
  known.m_isExcused |=
    aBreak.m_isExcused || IsRefuted(aPart, aEngine, known.m_at);
  if (!isNew && known.m_isExcused == wasExcused) {
    return false;
  }
  part.m_changedAt = m_options.m_clock.SteadyNow();
  part.m_hasNews = true;
  return true;
}

bool
PromptQuarantine::IsRefuted(PartKey aPart,
                            const BackendServerId& aEngine,
                            SteadyTime aAt) const
{
  const std::optional<SteadyTime> answer = LastAnswer(aPart);
  if (answer && *answer > aAt) {
    return true;
  }
  const auto response = m_lastResponse.find(aEngine);
  return response != m_lastResponse.end() && response->second > aAt &&
         response->second <= aAt + m_options.m_minRestartTime;
}

std::optional<SteadyTime>
PromptQuarantine::LastAnswer(PartKey aPart) const
{
  const auto found = m_answerOf.find(aPart);
  return found == m_answerOf.end() ? std::nullopt
                                   : std::optional(found->second->m_sentAt);
}

void
PromptQuarantine::MakeRoom()
{
  if (m_parts.size() < m_options.m_maxParts) {
    return;
  }
  const auto least =
    std::ranges::min_element(m_parts, {}, [](const auto& aEntry) {
      return std::pair(CountedEngines(aEntry.second).size(),
                       aEntry.second.m_changedAt);
    });
  m_parts.erase(least);
}

void
PromptQuarantine::RecordAnswer(const PartKeys& aParts, SteadyTime aSentAt)
{
  bool isChanged = false;
  for (const PartKey key : aParts) {
    SteadyTime sentAt = aSentAt;
    if (const auto known = m_answerOf.find(key); known != m_answerOf.end()) {
      sentAt = std::max(sentAt, known->second->m_sentAt);
      m_answers.erase(known->second);
    }
    m_answers.push_front({ .m_part = key, .m_sentAt = sentAt });
    m_answerOf[key] = m_answers.begin();
    if (m_answers.size() > m_options.m_maxAnswers) {
      m_answerOf.erase(m_answers.back().m_part);
      m_answers.pop_back();
    }
    const auto part = m_parts.find(key);
    if (part == m_parts.end()) {
      continue;
    }
    for (auto& [engine, record] : part->second.m_breaks) {
      if (record.m_at < aSentAt) {
        isChanged |= Excuse(part->second, record);
      }
    }
  }
  if (isChanged) {
    UpdateGroups();
  }
}

void
PromptQuarantine::RecordResponse(const BackendServerId& aEngine,
                                 SteadyTime aSentAt)
{
  SteadyTime& last = m_lastResponse[aEngine];
  last = std::max(last, aSentAt);
  bool isChanged = false;
  for (auto& [key, part] : m_parts) {
    const auto found = part.m_breaks.find(aEngine);
    if (found != part.m_breaks.end() && aSentAt > found->second.m_at &&
        aSentAt <= found->second.m_at + m_options.m_minRestartTime) {
      isChanged |= Excuse(part, found->second);
    }
  }
  if (isChanged) {
    UpdateGroups();
  }
}

bool
PromptQuarantine::Excuse(Part& aPart, Break& aBreak)
{
  if (std::exchange(aBreak.m_isExcused, true)) {
    return false;
  }
  aPart.m_changedAt = m_options.m_clock.SteadyNow();
  aPart.m_hasNews = true;
  return true;
}

PromptQuarantine::Engines
PromptQuarantine::CountedEngines(const Part& aPart)
{
  Engines engines;
  for (const auto& [engine, record] : aPart.m_breaks) {
    if (!record.m_isExcused) {
      engines.insert(engine);
    }
  }
  return engines;
}

std::size_t
PromptQuarantine::CountInTurn(const Part& aPart, const Engines& aEngines) const
{
  std::vector<const Break*> breaks;
  for (const BackendServerId& engine : aEngines) {
    breaks.push_back(&aPart.m_breaks.at(engine));
  }
  std::ranges::sort(breaks, {}, &Break::m_at);
  std::size_t count = 0;
  std::optional<SteadyTime> counted;
  for (const Break* record : breaks) {
    if (!counted || record->m_at - *counted >= m_options.m_minBreakInterval) {
      count += record->m_wasAnswered ? 1 : 2;
      counted = record->m_at;
    }
  }
  return count;
}

void
PromptQuarantine::UpdateGroups()
{
  m_groups.clear();
  std::map<PartKey, Engines> unexplained;
  for (const auto& [key, part] : m_parts) {
    Engines engines = CountedEngines(part);
    if (engines.size() >= m_options.m_breaksToQuarantine) {
      unexplained.emplace(key, std::move(engines));
    }
  }
  for (;;) {
    PartKey worst{};
    std::size_t mostBreaks = 0;
    for (const auto& [key, engines] : unexplained) {
      const std::size_t breaks = CountInTurn(m_parts.at(key), engines);
      if (breaks > mostBreaks) {
        worst = key;
        mostBreaks = breaks;
      }
    }
    if (mostBreaks < 2 * m_options.m_breaksToQuarantine) {
      return;
    }
    QuarantinedGroup group{ .m_engines = unexplained.at(worst) };
    for (const BackendServerId& engine : group.m_engines) {
      group.m_lastBreakAt = std::max(
        group.m_lastBreakAt, m_parts.at(worst).m_breaks.at(engine).m_at);
    }
    for (auto& [key, engines] : unexplained) {
      if (std::ranges::includes(engines, group.m_engines)) {
        group.m_parts.insert(key);
      }
      std::erase_if(engines, [&](const BackendServerId& aEngine) {
        return group.m_engines.contains(aEngine);
      });
    }
    m_groups.push_back(std::move(group));
  }
}

bool
PromptQuarantine::IsQuarantined(const PartKeys& aParts) const
{
  return std::ranges::any_of(m_groups, [&](const QuarantinedGroup& aGroup) {
    return HasAllOf(aParts, aGroup);
  });
}

bool
PromptQuarantine::HasAllOf(const PartKeys& aParts,
                           const QuarantinedGroup& aGroup)
{
  return std::ranges::all_of(aGroup.m_parts, [&](PartKey aPart) {
    return std::ranges::find(aParts, aPart) != aParts.end();
  });
}

QuarantineDecision
PromptQuarantine::Check(
  const PartKeys& aParts,
  const std::function<std::size_t(const QuarantinedGroup&)>& aRankOf)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  for (const PartKey key : aParts) {
    if (const auto part = m_parts.find(key); part != m_parts.end()) {
      part->second.m_requestedAt = now;
    }
  }
  std::vector<const QuarantinedGroup*> tried;
  for (const QuarantinedGroup& group : m_groups) {
    if (!HasAllOf(aParts, group)) {
      continue;
    }
    const std::optional<SteadyTime> due = NextTrial(group);
    if (!due || now < *due + m_options.m_trialInterval * aRankOf(group)) {
      return QuarantineDecision::Refuse;
    }
    tried.push_back(&group);
  }
  for (const QuarantinedGroup* group : tried) {
    TrialState& state = m_trials[group->m_parts];
    state.m_triedAt = now;
    state.m_outdatedSince.reset();
  }
  return tried.empty() ? QuarantineDecision::Admit : QuarantineDecision::Trial;
}

std::optional<SteadyTime>
PromptQuarantine::NextTrial(const QuarantinedGroup& aGroup) const
{
  SteadyTime lastAt = aGroup.m_lastBreakAt;
  if (const auto trial = m_trials.find(aGroup.m_parts);
      trial != m_trials.end()) {
    if (trial->second.m_outdatedSince) {
      return trial->second.m_outdatedSince;
    }
    lastAt = std::max(lastAt, trial->second.m_triedAt);
  }
  const Part& part = m_parts.at(*aGroup.m_parts.begin());
  bool wasAnswered = false;
  std::vector<SteadyTime> times;
  for (const BackendServerId& engine : aGroup.m_engines) {
    times.push_back(part.m_breaks.at(engine).m_at);
    wasAnswered |= part.m_breaks.at(engine).m_wasAnswered;
  }
  std::ranges::sort(times);
  std::size_t trials = 0;
  bool wasTriedEarly = false;
  for (std::size_t index = 1; index < times.size(); ++index) {
    const nanoseconds distance = times[index] - times[index - 1];
    wasTriedEarly |= distance >= m_options.m_firstTrialAfter;
    trials += distance >= kMinTrialDistance ? 1 : 0;
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
PromptQuarantine::MayRetry(const PartKeys& aParts) const
{
  return std::ranges::all_of(aParts, [&](PartKey aPart) {
    const auto part = m_parts.find(aPart);
    return LastAnswer(aPart) &&
           (part == m_parts.end() || CountedEngines(part->second).size() <= 1);
  });
}

void
PromptQuarantine::Merge(const std::vector<PartReport>& aReports)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  bool isChanged = false;
  for (const PartReport& report : aReports) {
    for (const BreakReport& peerBreak : report.m_breaks) {
      const Break record{ .m_software = peerBreak.m_engine.m_software,
                          .m_at = now - peerBreak.m_age,
                          .m_isExcused = peerBreak.m_isExcused,
                          .m_wasAnswered = peerBreak.m_wasAnswered };
      isChanged |=
        AddBreak(report.m_part, peerBreak.m_engine.m_incarnation, record);
    }
    const auto part = m_parts.find(report.m_part);
    if (part != m_parts.end()) {
      part->second.m_requestedAt =
        std::max(part->second.m_requestedAt, now - report.m_requestAge);
      part->second.m_isAdvertised = true;
    }
  }
  if (isChanged) {
    UpdateGroups();
  }
}

std::vector<PartReport>
PromptQuarantine::ToAdvertise() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<PartReport> reports;
  for (const auto& [key, part] : m_parts) {
    if (!part.m_isAdvertised) {
      continue;
    }
    PartReport& report = reports.emplace_back(
      PartReport{ .m_part = key, .m_requestAge = now - part.m_requestedAt });
    for (const auto& [engine, record] : part.m_breaks) {
      report.m_breaks.push_back({
        .m_engine = { .m_incarnation = engine,
                      .m_software = record.m_software },
        .m_age = now - record.m_at,
        .m_isExcused = record.m_isExcused,
        .m_wasAnswered = record.m_wasAnswered,
      });
    }
  }
  std::ranges::stable_sort(reports, {}, [&](const PartReport& aReport) {
    const Part& part = m_parts.at(aReport.m_part);
    return std::pair(-static_cast<std::ptrdiff_t>(CountedEngines(part).size()),
                     now - part.m_changedAt);
  });
  reports.resize(std::min(reports.size(), m_options.m_maxAdvertised));
  return reports;
}

bool
PromptQuarantine::TakeNews()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  bool hasNews = false;
  for (auto& [key, part] : m_parts) {
    const Engines engines = CountedEngines(part);
    const bool isOld =
      !engines.empty() && now - part.m_breaks.at(*engines.begin()).m_at >=
                            m_options.m_advertisementDelay;
    part.m_isAdvertised |= engines.size() > 1 || isOld;
    if (part.m_isAdvertised) {
      hasNews |= std::exchange(part.m_hasNews, false);
    }
  }
  return hasNews;
}

void
PromptQuarantine::Tick(
  const std::function<bool(const std::string&)>& aIsRunning)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::erase_if(m_parts, [&](const auto& aEntry) {
    const Part& part = aEntry.second;
    const bool isExcused = CountedEngines(part).empty();
    return now - part.m_changedAt > m_options.m_excusedMemory &&
           (isExcused || now - std::max(part.m_requestedAt, part.m_changedAt) >
                           m_options.m_memory);
  });
  UpdateGroups();
  for (const QuarantinedGroup& group : m_groups) {
    const Part& part = m_parts.at(*group.m_parts.begin());
    const bool isRunning =
      std::ranges::any_of(group.m_engines, [&](const auto& aEngine) {
        return aIsRunning(part.m_breaks.at(aEngine).m_software);
      });
    TrialState& state = m_trials[group.m_parts];
    if (isRunning) {
      state.m_outdatedSince.reset();
    } else if (!state.m_outdatedSince &&
               state.m_triedAt <= group.m_lastBreakAt) {
      state.m_outdatedSince = now;
    }
  }
  std::erase_if(m_trials, [&](const auto& aTrial) {
    return std::ranges::none_of(m_groups, [&](const auto& aGroup) {
      return aGroup.m_parts == aTrial.first;
    });
  });
}

void
PromptQuarantine::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_lastResponse, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

} // namespace rattanweir
