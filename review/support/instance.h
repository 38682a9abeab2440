// One rattanweird process, started with the command of the deploy file and a
// settings file with the fields of the project's template.
//
//   Instance instance({ .m_name = "front-ostland-a-1", ... });
//   instance.Start();
//   instance.WaitUntilReady(deadline);
//   instance.Send(SIGTERM);

#pragma once

#include "review/support/record.h"
#include "review/support/socket.h"

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

// The addresses at which an instance listens.
struct InstanceAddresses
{
  Address m_caller = FreeAddress();
  Address m_peer = FreeAddress();
  Address m_admin = FreeAddress();
  Address m_directory = FreeAddress();
  Address m_readiness = FreeAddress();
};

struct InstanceOptions
{
  std::string m_name;
  std::string m_region;
  std::string m_zone;
  // Regions by zone.
  std::map<std::string, std::string> m_zones;
  std::vector<Address> m_seeds;
  Address m_store;
  InstanceAddresses m_addresses;
  // Path of the program.
  std::string m_program;
  // Folder for the settings file and the log.
  std::string m_folder;
  Record& m_record;
};

class Instance
{
public:
  explicit Instance(InstanceOptions aOptions);
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;
  // Kills the process if it still runs.
  ~Instance();

  const InstanceAddresses& Addresses() const { return m_options.m_addresses; }
  const std::string& Name() const { return m_options.m_name; }

  // The process ends with the calling thread at the latest.
  void Start();
  // Returns false if the instance is not ready before the deadline.
  bool WaitUntilReady(SteadyTime aDeadline) const;
  void Send(int aSignal) const;
  bool IsRunning();
  // Returns false if the process still runs at the deadline.
  bool WaitUntilEnded(SteadyTime aDeadline);
  // Resident memory of the process in MB (1,000,000 bytes), now.
  double MemoryMb() const;

private:
  std::string SettingsText() const;

  InstanceOptions m_options;
  pid_t m_process = -1;
};

// Sends a GET request and returns the response, or nullopt without a whole one.
std::optional<Response>
Get(const Address& aAddress, const std::string& aTarget, SteadyTime aDeadline);

} // namespace review
