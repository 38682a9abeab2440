// rattanweird: one gateway instance between callers and backend servers.

#include "programs/rattanweird/daemon.h"
#include "programs/rattanweird/fleet_daemon.h"

#include "rattanweir/process/logging/log.h"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(settings, "", "the settings file of this instance");
DECLARE_bool(help);

namespace {

constexpr const char* kVersion = RATTANWEIR_VERSION;
constexpr const char* kUsage =
  "usage: rattanweird --settings FILE | --help | --version\n";
constexpr int kUsageError = 2;
constexpr int kFailure = 1;

int
RunDaemon()
{
  try {
    const auto settings = rattanweir::LoadSettings(FLAGS_settings);
    rattanweir::ConfigureLog(settings.m_log);
    // Leaked on purpose: suspended tasks refer to members of the daemon, and
    // the process ends right after Run.
    if (settings.m_fleet) {
      auto* const daemon =
        new rattanweir::FleetDaemon(settings, FLAGS_settings);
      daemon->Run();
    } else {
      auto* const daemon = new rattanweir::Daemon(settings);
      daemon->Run();
    }
    return 0;
  } catch (const rattanweir::SettingsError& error) {
    for (const rattanweir::SectionFault& fault : error.Faults()) {
      std::cerr << fault.ToString() << "\n";
    }
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << "rattanweird: " << error.what() << "\n";
    return kFailure;
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetVersionString(kVersion);
  gflags::SetUsageMessage(kUsage);
  // Ends the process on an unknown flag.
  gflags::ParseCommandLineNonHelpFlags(&aCount, &aArguments, true);
  if (FLAGS_help) {
    std::cout << kUsage;
    return 0;
  }
  gflags::HandleCommandLineHelpFlags();
  if (FLAGS_settings.empty() || aCount > 1) {
    std::cerr << kUsage;
    return kUsageError;
  }
  return RunDaemon();
}
