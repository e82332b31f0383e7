#ifndef CICADALOFT_ROUTING_RETRY_BUDGET_H_
#define CICADALOFT_ROUTING_RETRY_BUDGET_H_

namespace cicadaloft {

/// Limits the retries that this host sends for one service to a fraction of its
/// requests, so that retries don't multiply the load on targets that already
/// fail.
class RetryBudget {
 public:
  /// @param starts_full whether the budget starts at its maximum. It must not
  /// do so after a restart that follows a crash of the process.
  explicit RetryBudget(bool starts_full = false) : starts_full(starts_full) {}

  /// Sets the limits and clips the balance to the new maximum.
  /// @param ratio retries that each request adds to the balance.
  /// @param max_balance the highest balance, in retries; this host's share of
  /// the slack of all hosts.
  void SetLimits(double ratio, double max_balance);

  void OnRequest();
  /// Takes one retry from the balance.
  /// @return false if the balance is below one retry.
  bool TryAcquire();

 private:
  double ratio = 0;
  double max_balance = 0;
  double balance = 0;
  bool starts_full;
  bool is_new = true;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_RETRY_BUDGET_H_
