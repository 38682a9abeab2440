// Stand-ins for the platform around the gateway, for the cases of the third
// review: the store, the runners of a service, and a gateway process with the
// settings of a small deployment. All addresses are loopback addresses.
//
//   Record record(folder);
//   Store store;
//   store.Put("op/config", FormatConfig({ ... }));
//   const std::uint16_t gate = store.AddGate({ .m_delay = Milliseconds(55) });
//   Runner runner({ .m_service = "plassbok", ... }, record);
//   store.Put(runner.Key(), runner.Entry());
//   Gateway gateway({ .m_name = "front-ostland-a-1", ... }, record);
//   gateway.Start();

#pragma once

#include "review/support-3/http.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

// Writes lines with the time since the start to record.txt.
class Record
{
public:
  explicit Record(const std::string& aFolder);

  void Write(const std::string& aLine);
  Milliseconds Now() const;

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  std::chrono::steady_clock::time_point m_start;
};

struct GateOptions
{
  // One-way delay of the link between the store and the machines of the gate.
  Milliseconds m_delay{ 0 };
};

// The platform's metadata store, for reading. Each gate is a port for machines
// with the same link to the store.
class Store
{
public:
  // Returns the port of a new gate.
  std::uint16_t AddGate(const GateOptions& aOptions);

  // While a gate is cut, the store answers nothing there. Connections that were
  // used during a cut stay silent.
  void SetCut(std::uint16_t aGate, bool aIsCut);

  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  // From now on, a watch that has waited for this long without an event is cut:
  // its connection is closed without an answer.
  void CutWatchesAfter(Milliseconds aWait);

private:
  struct Item
  {
    // nullopt for an item that was removed.
    std::optional<std::string> m_value;
    std::uint64_t m_revision = 0;
  };
  struct Gate
  {
    GateOptions m_options;
    std::atomic<bool> m_isCut = false;
  };

  void Serve(const Gate& aGate, Connection& aConnection);
  // Returns nullopt for a watch that is cut.
  std::optional<std::string> Answer(const std::string& aTarget);
  std::string Range(const std::string& aPrefix);
  std::optional<std::string> Watch(const std::string& aPrefix,
                                   std::uint64_t aAfter,
                                   Milliseconds aWait);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::uint64_t m_revision = 100;
  std::optional<Milliseconds> m_cutAfter;
  std::map<std::uint16_t, std::shared_ptr<Gate>> m_gates;
};

struct RunnerOptions
{
  std::string m_service;
  std::string m_zone;
  unsigned m_slots = 6;
  unsigned m_queue = 24;
  Milliseconds m_work{ 60 };
};

// The body of the extra responses, which a runner sends at the point where the
// next response on the connection is expected.
inline constexpr const char* kExtraBody = "an error page for no request";

// A runner of a service. It works on `m_slots` requests at a time, queues a few
// more and refuses the rest as not run.
class Runner
{
public:
  Runner(const RunnerOptions& aOptions, Record& aRecord);

  // The key and the value of its entry in the store.
  std::string Key() const { return "servers/" + m_id; }
  std::string Entry() const;

  unsigned Runs() const { return m_runs; }
  // Returns the length of the body of the request with this id, or nullopt if
  // it has not run one.
  std::optional<std::size_t> BodyOfRun(const std::string& aRequestId);
  // Returns when the latest request that it has run arrived, by the record.
  Milliseconds LatestRun() const { return m_latestRun; }
  unsigned Extras() const { return m_extras; }
  // While set, the runner sends extra responses after a share of its answers.
  void SetExtraShare(double aShare);

private:
  void Serve(Connection& aConnection);
  std::string Answer(const Message& aRequest);
  bool DrawsExtra();

  RunnerOptions m_options;
  Record& m_record;
  std::string m_id;
  std::string m_born;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  std::atomic<unsigned> m_runs = 0;
  std::atomic<Milliseconds> m_latestRun{ Milliseconds(0) };
  std::atomic<unsigned> m_extras = 0;
  double m_extraShare = 0;
  std::mt19937 m_random{ 61 };
  std::unique_ptr<Listener> m_listener;
};

struct GatewayOptions
{
  std::string m_name;
  std::string m_zone;
  std::string m_region;
  std::uint16_t m_store = 0;
  // Folder for the settings file and the log.
  std::string m_folder;
};

// One instance of the gateway on a machine of its own.
class Gateway
{
public:
  Gateway(const GatewayOptions& aOptions, Record& aRecord);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Sets the `control` addresses that the settings name.
  void SetSeeds(const std::vector<std::uint16_t>& aSeeds);
  void Start();
  void Kill();
  bool IsRunning();
  bool IsReady() const;
  // Returns the resident memory of the process in bytes, or 0 without one.
  std::uint64_t ResidentBytes() const;

  const std::string& Name() const { return m_options.m_name; }
  std::uint16_t FrontPort() const { return m_front; }
  std::uint16_t ControlPort() const { return m_control; }

private:
  std::string Settings() const;

  GatewayOptions m_options;
  Record& m_record;
  std::uint16_t m_front = FreePort();
  std::uint16_t m_control = FreePort();
  std::uint16_t m_admin = FreePort();
  std::uint16_t m_directory = FreePort();
  std::uint16_t m_ready = FreePort();
  std::vector<std::uint16_t> m_seeds;
  std::atomic<pid_t> m_process = 0;
};

struct RouteOptions
{
  std::string m_prefix;
  std::string m_kind;
  std::string m_service;
  unsigned m_timeoutMs = 3'000;
};

// Returns a configuration of the host kHost with these routes and services; the
// routes need no key.
std::string
FormatConfig(unsigned aVersion,
             const std::vector<RouteOptions>& aRoutes,
             const std::vector<std::string>& aServices);

inline constexpr const char* kHost = "booking.example";

// Returns a text that no other call returned.
std::string
NewRequestId();

// Waits until the condition holds. Returns false if it does not in time.
bool
WaitUntil(Milliseconds aTimeout, const std::function<bool()>& aCondition);

// Returns false if the variable TROUBLE is 0.
bool
HasTrouble();

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

} // namespace review
