#ifndef CICADALOFT_TESTS_STAND_INS_RUNNER_SETTINGS_H_
#define CICADALOFT_TESTS_STAND_INS_RUNNER_SETTINGS_H_

#include <docopt/docopt.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace cicadaloft::stand_ins {

inline constexpr char kRunnerUsage[] = R"(A fake runner.

Usage:
  fake_runner --listen ADDRESS --id ID --service NAME --zone NAME --store ADDRESS
              [--models NAMES] [--disk NAMES] [--load-ms N] [--event-ms N]
              [--work-ms N] [--slots N] [--event-tokens N]
              [--runs FILE] [--until-close] [--software VERSION]
              [--drop-after-ms N] [--orders FILE] [--waiting N]

Options:
  --listen ADDRESS  Address to listen on, "IP:port".
  --id ID         Its name in the registry.
  --service NAME  The service that it belongs to.
  --zone NAME     Its data centre.
  --store ADDRESS Address of the fake store.
  --models NAMES  Models loaded at the start, separated by commas [default: ].
  --disk NAMES    Models on the disk, separated by commas [default: ].
  --load-ms N     Duration of a load in ms [default: 400].
  --event-ms N    Interval between two events of a stream in ms [default: 20].
  --work-ms N     Time until a plain response in ms [default: 0].
  --slots N       Number of slots that it registers [default: 8].
  --event-tokens N  Tokens of Token-Counts per event of a stream; 0: a stream
                  has 8 events [default: 0].
  --runs FILE     Appends the time of the steady clock in ms and the id of each
                  request that it executes; kept when the process ends.
  --until-close   The end of the connection marks the end of a stream.
  --software VERSION  Version of its software, which is in the registry and in
                  each event of a stream [default: v1].
  --drop-after-ms N  N ms after the load of a model is complete it goes on as a
                  process that has just started, without models, so that orders
                  never end; 0: models stay loaded [default: 0].
  --orders FILE   Appends a JSON line for each order: the time of the steady
                  clock in ms, its fields, and the status of the response.
  --waiting N     Number of requests that may wait for a slot, others are turned
                  away; -1: slots don't bind [default: -1].

  GET /seen           returns the ids of all requests that were executed
  GET /turned_away    returns those that were turned away during a rest
  POST /admin/crash   ends the process immediately
  POST /admin/leaving says in every response that the runner leaves
  POST /admin/rest?seconds=N
                      turns requests away with 503 and Retry-After for N seconds
  POST /admin/cut?from=IP&how=K&for_ms=N
                      cuts the links from an address for N ms; K: hang (bytes are
                      kept back), reset (connections are reset, new ones too),
                      refuse (new connections are reset, and half of the others)
  POST /admin/brittle?n=N&waiting=W&for_ms=T
                      says Server-Brittle: N in every response for T ms; from 3 s
                      on at most W requests wait, and if it turns away more than
                      N in a second it crashes: its connections close, and after
                      4 s it listens again as a new process; needs --waiting
                      and writes the time on the steady clock in ms to its output
  GET /crashes        returns the number of these crashes
)";

struct Settings {
  std::string address;
  std::string id;
  std::string service;
  std::string zone;
  std::string store;
  std::vector<std::string> models;  ///< Loaded at the start.
  std::vector<std::string> disk;
  std::chrono::milliseconds load_time{};
  std::chrono::milliseconds event_interval{};
  std::chrono::milliseconds work_time{};
  long slots = 0;
  long event_tokens = 0;
  std::string runs_file;
  bool is_until_close = false;
  std::string software;
  std::chrono::milliseconds drop_after{};
  std::string orders_file;
  long waiting = -1;
};

inline std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  if (!text.empty()) {
    boost::split(parts, text, boost::is_any_of(","));
  }
  return parts;
}

inline Settings ReadSettings(std::map<std::string, docopt::value>& options) {
  return {.address = options["--listen"].asString(),
          .id = options["--id"].asString(),
          .service = options["--service"].asString(),
          .zone = options["--zone"].asString(),
          .store = options["--store"].asString(),
          .models = Split(options["--models"].asString()),
          .disk = Split(options["--disk"].asString()),
          .load_time = std::chrono::milliseconds(options["--load-ms"].asLong()),
          .event_interval =
              std::chrono::milliseconds(options["--event-ms"].asLong()),
          .work_time = std::chrono::milliseconds(options["--work-ms"].asLong()),
          .slots = options["--slots"].asLong(),
          .event_tokens = options["--event-tokens"].asLong(),
          .runs_file = options["--runs"].isString()
                           ? options["--runs"].asString()
                           : std::string(),
          .is_until_close = options["--until-close"].asBool(),
          .software = options["--software"].asString(),
          .drop_after =
              std::chrono::milliseconds(options["--drop-after-ms"].asLong()),
          .orders_file = options["--orders"].isString()
                             ? options["--orders"].asString()
                             : std::string(),
          .waiting = options["--waiting"].asLong()};
}

}  // namespace cicadaloft::stand_ins

#endif  // CICADALOFT_TESTS_STAND_INS_RUNNER_SETTINGS_H_
