// A model engine for benches and tests: continuous batching with a limit, one
// prefill at a time, and a prefix cache of limited size. With prompts of no
// tokens it is a plain server whose slots are the batch.
//
//   EngineModel engine(options);
//   engine.Add(request);
//   while (auto work = engine.StartPrefill(now)) ...
//
// Times are in seconds. Who uses it keeps the clock and calls it.

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
  // Told apart by it when one is withdrawn.
  std::uint64_t m_id = 0;
  // A request goes before those that wait with a higher number.
  unsigned m_priority = 0;
  std::size_t m_instance = 0;
  // The text that the prompt starts with, and its length.
  std::uint32_t m_document = 0;
  double m_documentTokens = 0;
  // What follows it, held by no cache.
  double m_uniqueTokens = 0;
  // Generated, and the most that was asked for.
  double m_responseTokens = 0;
  double m_maxTokens = 0;
  double m_arrivedAt = 0;

  double PromptTokens() const { return m_documentTokens + m_uniqueTokens; }
  // What an engine counts as its load while it holds the request.
  double LoadTokens() const { return PromptTokens() + m_maxTokens; }
};

struct EngineModelOptions
{
  std::size_t m_batchLimit = 96;
  double m_prefillTokensPerSecond = 8'000;
  // From one token to the next: alone, and for each request of the batch.
  double m_stepSeconds = 0.010;
  double m_stepSecondsPerRequest = 0.0004;
  double m_cacheTokens = 24'000;
};

// A prefill under way.
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

  // The next prefill, unless one is under way, none waits or the batch is full.
  std::optional<Prefill> StartPrefill();

  // The prefill's end; returns how long the answer then takes.
  double EndPrefill(const ModelRequest& aRequest);

  void EndResponse(double aNow, const ModelRequest& aRequest);

  // Takes out a request that still waits; returns whether it did.
  bool Withdraw(double aNow, std::uint64_t aId);

  // Whether the cache holds the document.
  bool IsCached(std::uint32_t aDocument) const
  {
    return m_cacheIndex.contains(aDocument);
  }

  std::size_t Running() const { return m_running; }
  std::size_t Waiting() const { return m_waiting.size(); }

  // Tokens queued and running now.
  double Load() const { return m_load; }

  // The load as it was at that time; times asked for must not go back by more
  // than the lag.
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
  // When the load changed and to what, oldest first.
  std::deque<std::pair<double, double>> m_history{ { 0, 0 } };

  struct CachedDocument
  {
    std::uint32_t m_document;
    double m_tokens;
  };
  // Least recently used last.
  std::list<CachedDocument> m_cache;
  std::unordered_map<std::uint32_t, std::list<CachedDocument>::iterator>
    m_cacheIndex;
  double m_cachedTokens = 0;
};

} // namespace rattanweir
