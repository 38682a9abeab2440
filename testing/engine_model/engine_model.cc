#include "testing/engine_model/engine_model.h"

#include <algorithm>

namespace rattanweir {

EngineModel::EngineModel(const EngineModelOptions& aOptions)
  : m_options(aOptions)
{
}

void
EngineModel::Add(double aNow, const ModelRequest& aRequest)
{
  const auto position = std::upper_bound(
    m_waiting.begin(),
    m_waiting.end(),
    aRequest,
    [](const ModelRequest& aNew, const ModelRequest& aWaiting) {
      return aNew.m_priority < aWaiting.m_priority;
    });
  m_waiting.insert(position, aRequest);
  ChangeLoad(aNow, aRequest.LoadTokens());
}

std::optional<Prefill>
EngineModel::StartPrefill()
{
  if (m_isPrefilling || m_waiting.empty() ||
      m_running >= m_options.m_batchLimit) {
    return std::nullopt;
  }
  Prefill prefill{ .m_request = m_waiting.front() };
  m_waiting.pop_front();
  m_isPrefilling = true;
  ++m_running;
  prefill.m_isHit = MarkRecentlyUsed(prefill.m_request.m_document);
  const double tokens = prefill.m_isHit ? prefill.m_request.m_uniqueTokens
                                        : prefill.m_request.PromptTokens();
  prefill.m_seconds = tokens / m_options.m_prefillTokensPerSecond;
  return prefill;
}

double
EngineModel::EndPrefill(const ModelRequest& aRequest)
{
  m_isPrefilling = false;
  AddToCache(aRequest);
  const double step =
    m_options.m_stepSeconds +
    m_options.m_stepSecondsPerRequest * static_cast<double>(m_running);
  return step * aRequest.m_responseTokens;
}

void
EngineModel::EndResponse(double aNow, const ModelRequest& aRequest)
{
  --m_running;
  ChangeLoad(aNow, -aRequest.LoadTokens());
}

bool
EngineModel::Withdraw(double aNow, std::uint64_t aId)
{
  const auto found = std::find_if(
    m_waiting.begin(), m_waiting.end(), [&](const ModelRequest& aWaiting) {
      return aWaiting.m_id == aId;
    });
  if (found == m_waiting.end()) {
    return false;
  }
  ChangeLoad(aNow, -found->LoadTokens());
  m_waiting.erase(found);
  return true;
}

double
EngineModel::LoadAt(double aTime, double aLag)
{
  while (m_history.size() > 1 && m_history[1].first <= aTime - aLag) {
    m_history.pop_front();
  }
  double load = m_history.front().second;
  for (const auto& [time, value] : m_history) {
    if (time > aTime) {
      break;
    }
    load = value;
  }
  return load;
}

void
EngineModel::ChangeLoad(double aNow, double aTokens)
{
  m_load += aTokens;
  m_history.emplace_back(aNow, m_load);
}

bool
EngineModel::MarkRecentlyUsed(std::uint32_t aDocument)
{
  const auto found = m_cacheIndex.find(aDocument);
  if (found == m_cacheIndex.end()) {
    return false;
  }
  m_cache.splice(m_cache.begin(), m_cache, found->second);
  return true;
}

void
EngineModel::AddToCache(const ModelRequest& aRequest)
{
  if (MarkRecentlyUsed(aRequest.m_document)) {
    return;
  }
  m_cache.push_front({ aRequest.m_document, aRequest.m_documentTokens });
  m_cacheIndex[aRequest.m_document] = m_cache.begin();
  m_cachedTokens += aRequest.m_documentTokens;
  while (m_cachedTokens > m_options.m_cacheTokens) {
    m_cachedTokens -= m_cache.back().m_tokens;
    m_cacheIndex.erase(m_cache.back().m_document);
    m_cache.pop_back();
  }
}

} // namespace rattanweir
