// A simulated model engine for benchmarks and tests: continuous batching with a
// maximum batch size, one prefill at a time, and a prefix cache of limited size
// with LRU eviction. With empty prompts it models a plain server whose number
// of slots is the batch size.
//
//   EngineModel engine(options);
//   engine.Add(request);
//   while (auto work = engine.StartPrefill(now)) ...
//
// Times are in seconds. The user keeps the clock and schedules the calls.

#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

namespace rattanweir {

struct ModelRequest
{
  // Identifies the request to Withdraw.
  std::uint64_t m_id = 0;
  // Requests with a lower number are served first.
  unsigned m_priority = 0;
  std::size_t m_instance = 0;
  // The shared document at the start of the prompt, and its length.
  std::uint32_t m_document = 0;
  double m_documentTokens = 0;
  // Length of the rest of the prompt, which is never cached.
  double m_uniqueTokens = 0;
  // Tokens generated, and the maximum that the caller requested.
  double m_responseTokens = 0;
  double m_maxTokens = 0;
  double m_arrivedAt = 0;

  double PromptTokens() const { return m_documentTokens + m_uniqueTokens; }
  // The request's contribution to the engine's load.
  double LoadTokens() const { return PromptTokens() + m_maxTokens; }
};

struct EngineModelOptions
{
  std::size_t m_batchLimit = 96;
  double m_prefillTokensPerSecond = 8'000;
  // Time per decoding step: fixed part, and part per request in the batch.
  double m_stepSeconds = 0.010;
  double m_stepSecondsPerRequest = 0.0004;
  double m_cacheTokens = 24'000;
};

// A prefill in progress.
struct Prefill
{
  ModelRequest m_request;
  bool m_isHit = false;
  double m_seconds = 0;
};

class EngineModel
{
public:
  explicit EngineModel(const EngineModelOptions& aOptions);

  void Add(double aNow, const ModelRequest& aRequest);

  // Starts the next prefill. Returns nullopt if one is in progress, no request
  // waits or the batch is full.
  std::optional<Prefill> StartPrefill();

  // Ends the prefill; returns how long generating the response then takes.
  double EndPrefill(const ModelRequest& aRequest);

  void EndResponse(double aNow, const ModelRequest& aRequest);

  // Removes a waiting request. Returns false if the request does not wait.
  bool Withdraw(double aNow, std::uint64_t aId);

  // Returns whether the document is in the prefix cache.
  bool IsCached(std::uint32_t aDocument) const
  {
    return m_cacheIndex.contains(aDocument);
  }

  std::size_t Running() const { return m_running; }
  std::size_t Waiting() const { return m_waiting.size(); }

  // Returns the tokens of queued and running requests.
  double Load() const { return m_load; }

  // Returns the load at an earlier time. Entries older than `aTime - aLag` are
  // dropped, so a later call must not go back further.
  double LoadAt(double aTime, double aLag);

private:
  void ChangeLoad(double aNow, double aTokens);
  bool MarkRecentlyUsed(std::uint32_t aDocument);
  void AddToCache(const ModelRequest& aRequest);

  EngineModelOptions m_options;
  std::deque<ModelRequest> m_waiting;
  std::size_t m_running = 0;
  bool m_isPrefilling = false;
  double m_load = 0;
  // Times of load changes and the load after each, oldest first.
  std::deque<std::pair<double, double>> m_history{ { 0, 0 } };

  struct CachedDocument
  {
    std::uint32_t m_document;
    double m_tokens;
  };
  // Ordered from most to least recently used.
  std::list<CachedDocument> m_cache;
  std::unordered_map<std::uint32_t, std::list<CachedDocument>::iterator>
    m_cacheIndex;
  double m_cachedTokens = 0;
};

} // namespace rattanweir
