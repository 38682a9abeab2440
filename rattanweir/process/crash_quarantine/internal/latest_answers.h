// When the latest answered request with each suspect was sent, for a bounded
// number of suspects: those that were answered last.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/process/crash_quarantine/crash_suspect.h"

#include <algorithm>
#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace rattanweir::internal {

class LatestAnswers
{
public:
  explicit LatestAnswers(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  void Record(const Suspect& aSuspect, SteadyTime aSentAt)
  {
    SteadyTime sentAt = aSentAt;
    if (const auto known = m_bySuspect.find(aSuspect);
        known != m_bySuspect.end()) {
      sentAt = std::max(sentAt, known->second->m_sentAt);
      m_answers.erase(known->second);
    }
    m_answers.push_front({ .m_suspect = aSuspect, .m_sentAt = sentAt });
    m_bySuspect[aSuspect] = m_answers.begin();
    if (m_answers.size() > m_capacity) {
      m_bySuspect.erase(m_answers.back().m_suspect);
      m_answers.pop_back();
    }
  }

  std::optional<SteadyTime> Find(const Suspect& aSuspect) const
  {
    const auto found = m_bySuspect.find(aSuspect);
    return found == m_bySuspect.end() ? std::nullopt
                                      : std::optional(found->second->m_sentAt);
  }

private:
  struct Answer
  {
    Suspect m_suspect;
    SteadyTime m_sentAt;
  };
  // The hash of a suspect is distributed evenly already.
  struct Hash
  {
    std::size_t operator()(const Suspect& aSuspect) const
    {
      return aSuspect.m_hash;
    }
  };

  std::size_t m_capacity;
  // The most recent first.
  std::list<Answer> m_answers;
  std::unordered_map<Suspect, std::list<Answer>::iterator, Hash> m_bySuspect;
};

} // namespace rattanweir::internal
