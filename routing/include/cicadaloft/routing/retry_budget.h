#ifndef CICADALOFT_ROUTING_RETRY_BUDGET_H_
#define CICADALOFT_ROUTING_RETRY_BUDGET_H_

namespace cicadaloft {

/// Bounds one service's repeated sends from this host to a part of its
/// requests, so that repeats don't multiply the load on targets that already
/// fail.
class RetryBudget {
 public:
  /// @param is_full whether it begins with all that may be saved up; one that
  /// begins again after a process's death must not.
  explicit RetryBudget(bool is_full = false) : is_full(is_full) {}

  /// Sets the bounds. What is saved up is clipped.
  /// @param ratio repeats that each request allows.
  /// @param most_saved repeats that may be saved up; this host's part of the
  /// slack that all hosts share.
  void SetLimits(double ratio, double most_saved);

  void OnRequest();
  /// @return false if the budget is spent.
  bool TryAcquire();

 private:
  double ratio = 0;
  double most_saved = 0;
  double saved = 0;
  bool is_full;
  bool is_new = true;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_RETRY_BUDGET_H_
