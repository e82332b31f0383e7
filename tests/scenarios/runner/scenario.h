#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_SCENARIO_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_SCENARIO_H_

#include <map>
#include <string>
#include <vector>

#include "scenarios/runner/invariants.h"
#include "scenarios/runner/load.h"
#include "scenarios/runner/script.h"
#include "scenarios/runner/world.h"

namespace cicadaloft::scenarios {

/// How a scenario is to be run.
struct ScenarioOptions {
  std::uint64_t seed = 1;
  bool trace = false;
  bool table = false;  ///< Print the figures.
};

/// One scenario: the world it describes, its course and its expectations.
class Scenario {
 public:
  Scenario(const std::vector<ScriptLine>& lines,
           const ScenarioOptions& options);

  /// Runs it to its end.
  /// @return whether every promise and expectation held; the rest is printed.
  bool Run();

 private:
  void Describe(const ScriptLine& line);
  void DescribeModels(const ScriptLine& line);
  void DescribeTargets(const ScriptLine& line);
  void Plan(const ScriptLine& line);
  void Perform(const ScriptLine& line);
  void PerformOnHosts(const ScriptLine& line);
  void PerformOnTarget(const ScriptLine& line);
  void PerformTicket(const ScriptLine& line);
  void PerformRandomFaults(const ScriptLine& line);
  void PerformCut(const ScriptLine& line, bool is_cut);
  void BeginLoad(const ScriptLine& line);
  void Submit(const std::vector<Item>& items,
              const std::vector<ItemRef>& removed,
              const ScriptLine& line);
  void WatchTickets();
  void WatchPromises();
  bool CheckExpectation(const ScriptLine& line);
  double Measure(const ScriptLine& line);
  RequestFigures FiguresOf(const std::string& customer) const;
  void PrintTable() const;

  const ScenarioOptions options;
  World world;
  LoadGenerator load;
  Invariants invariants;
  std::vector<Item> first_items;
  std::vector<std::string> models;
  std::map<std::string, Target> target_items;
  std::map<std::string, DataCentre> data_centres;
  std::map<std::string, BackEnd> back_ends;
  std::map<std::string, Customer> customers;
  std::vector<ScriptLine> course;
  std::vector<ScriptLine> expectations;
  std::size_t heard_tickets = 0;
  std::uint64_t next_ticket = 1;
  std::map<TicketNumber, bool> verdicts;
};

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_SCENARIO_H_
