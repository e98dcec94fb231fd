#pragma once

#include <vector>

namespace crocuslever::cell {

/// What one party asks for, and the weight of its claim.
struct WeightedClaim {
    double amount { 0.0 };
    double weight { 1.0 };
};

/// Divides `total` by weighted max-min fairness: in proportion to the weights, nobody gets more than it asks for, and what one
/// leaves goes to the others. Returns one amount for each claim.
std::vector<double> divideByWeight(const std::vector<WeightedClaim>&, double total);

} // namespace crocuslever::cell
