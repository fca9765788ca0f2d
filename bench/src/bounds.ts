/** How a figure compares with its bound. */
export type Operator = '<=' | '>=';

/** The bound that a bench checks a figure against. */
export interface Bound {
  readonly bench: string;
  readonly figure: string;
  readonly unit: string;
  readonly operator: Operator;
  readonly value: number;
}

/** Bounds of all benches, from the stated targets. */
export const bounds: readonly Bound[] = [
  { bench: 'path', figure: 'added_latency_p50', unit: 'ms', operator: '<=', value: 1 },
  { bench: 'path', figure: 'added_latency_p99', unit: 'ms', operator: '<=', value: 3 },
  { bench: 'path', figure: 'idle_cpu_entry', unit: 'percent_of_core', operator: '<=', value: 3.1 },
  { bench: 'path', figure: 'idle_cpu_agent', unit: 'percent_of_core', operator: '<=', value: 3.1 },
  { bench: 'path', figure: 'rss_entry', unit: 'MB', operator: '<=', value: 256 },
  { bench: 'path', figure: 'rss_agent', unit: 'MB', operator: '<=', value: 256 },
  {
    bench: 'weights',
    figure: 'time_to_64_over_lower_bound',
    unit: 'ratio',
    operator: '<=',
    value: 1.25,
  },
  { bench: 'weights', figure: 'time_growth_16_to_64', unit: 'ratio', operator: '<=', value: 1.15 },
  {
    bench: 'weights',
    figure: 'origin_copies_in_all_64',
    unit: 'copies',
    operator: '<=',
    value: 1.1,
  },
  {
    bench: 'weights',
    figure: 'copies_into_each_remote_region',
    unit: 'copies',
    operator: '<=',
    value: 1.05,
  },
  {
    bench: 'weights',
    figure: 'speed_up_over_origin_only_64',
    unit: 'ratio',
    operator: '>=',
    value: 8,
  },
  {
    bench: 'weights',
    figure: 'live_first_token_p95_over_quiet',
    unit: 'ratio',
    operator: '<=',
    value: 1.2,
  },
  { bench: 'weights', figure: 'mixed_or_partial_served', unit: 'count', operator: '<=', value: 0 },
  {
    bench: 'weights-scale',
    figure: 'time_to_2400_over_lower_bound',
    unit: 'ratio',
    operator: '<=',
    value: 1.3,
  },
  {
    bench: 'weights-scale',
    figure: 'origin_copies_in_all',
    unit: 'copies',
    operator: '<=',
    value: 1.15,
  },
  {
    bench: 'weights-scale',
    figure: 'incomplete_instances',
    unit: 'count',
    operator: '<=',
    value: 0,
  },
  {
    bench: 'fairness',
    figure: 'small_p95_flooded_over_alone',
    unit: 'ratio',
    operator: '<=',
    value: 1.1,
  },
  {
    bench: 'cold-start',
    figure: 'most_work_over_bearable',
    unit: 'ratio',
    operator: '<=',
    value: 1,
  },
  {
    bench: 'overload',
    figure: 'goodput_at_10x_over_capacity',
    unit: 'ratio',
    operator: '>=',
    value: 0.97,
  },
  { bench: 'overload', figure: 'refusal_latency_p99', unit: 'ms', operator: '<=', value: 20 },
  { bench: 'at-most-once', figure: 'most_runs_per_key', unit: 'count', operator: '<=', value: 1 },
  { bench: 'at-most-once', figure: 'false_not_run', unit: 'count', operator: '<=', value: 0 },
  {
    bench: 'at-most-once',
    figure: 'lost_or_crossed_answers',
    unit: 'count',
    operator: '<=',
    value: 0,
  },
  {
    bench: 'poison',
    figure: 'endpoints_lost_before_conviction',
    unit: 'count',
    operator: '<=',
    value: 2,
  },
  { bench: 'poison', figure: 'innocents_convicted', unit: 'count', operator: '<=', value: 0 },
  {
    bench: 'decisions',
    figure: 'routing_per_second_760',
    unit: 'per_second',
    operator: '>=',
    value: 200_000,
  },
  {
    bench: 'decisions',
    figure: 'routing_cost_growth_10_to_760',
    unit: 'ratio',
    operator: '<=',
    value: 1.5,
  },
  { bench: 'spread', figure: 'in_force_p99_100_processes', unit: 's', operator: '<=', value: 2 },
  { bench: 'spread', figure: 'in_force_p99_at_target', unit: 's', operator: '<=', value: 2 },
  {
    bench: 'spread',
    figure: 'store_calls_growth_10_to_100',
    unit: 'ratio',
    operator: '<=',
    value: 1.1,
  },
  { bench: 'spread', figure: 'reverts', unit: 'count', operator: '<=', value: 0 },
  { bench: 'take-out', figure: 'last_new_work', unit: 's', operator: '<=', value: 2 },
  { bench: 'take-out', figure: 'failed_requests', unit: 'count', operator: '<=', value: 0 },
  {
    bench: 'take-out',
    figure: 'first_token_p95_during_over_before',
    unit: 'ratio',
    operator: '<=',
    value: 1.2,
  },
  { bench: 'store-outage', figure: 'idempotent_served', unit: 'share', operator: '>=', value: 1 },
  { bench: 'rolling-restart', figure: 'lost_requests', unit: 'count', operator: '<=', value: 0 },
  {
    bench: 'control-cost',
    figure: 'cpu_at_target',
    unit: 'percent_of_core',
    operator: '<=',
    value: 3.1,
  },
  { bench: 'control-cost', figure: 'memory_at_target', unit: 'MB', operator: '<=', value: 256 },
  {
    bench: 'control-cost',
    figure: 'network_at_target',
    unit: 'KB_per_s',
    operator: '<=',
    value: 29,
  },
  { bench: 'faults', figure: 'invariant_breaks', unit: 'count', operator: '<=', value: 0 },
];
