/** Result of one scenario. */
export interface ScenarioResult {
  /** "FEATURE: SCENARIO" */
  readonly name: string;
  readonly passed: boolean;
}

interface ReportedStep {
  readonly result?: { readonly status?: string };
}

interface ReportedFeature {
  readonly name: string;
  readonly elements: readonly { readonly name: string; readonly steps: readonly ReportedStep[] }[];
}

/** Parses Cucumber's JSON report. */
export function parseScenarioResults(report: string): ScenarioResult[] {
  const features = JSON.parse(report) as ReportedFeature[];
  return features.flatMap((feature) =>
    feature.elements.map(({ name, steps }) => ({
      name: `${feature.name}: ${name}`,
      passed: steps.every(({ result }) => result?.status === 'passed'),
    })),
  );
}
