import { atMostOnce } from './benches/atMostOnce.js';
import { coldStart } from './benches/coldStart.js';
import { controlCost } from './benches/controlCost.js';
import { decisions } from './benches/decisions.js';
import { fairness } from './benches/fairness.js';
import { faults } from './benches/faults.js';
import { heavyDays } from './benches/heavyDays.js';
import { overload } from './benches/overload.js';
import { path } from './benches/path.js';
import { poison } from './benches/poison.js';
import { rollingRestart } from './benches/rollingRestart.js';
import { slopes } from './benches/slopes.js';
import { spread } from './benches/spread.js';
import { storeOutage } from './benches/storeOutage.js';
import { takeOut } from './benches/takeOut.js';
import { weights } from './benches/weights.js';
import { weightsScale } from './benches/weightsScale.js';
import type { Bench } from './figure.js';

/** All benches by name. */
export const benches: Readonly<Record<string, Bench>> = {
  'at-most-once': atMostOnce,
  'cold-start': coldStart,
  'control-cost': controlCost,
  decisions,
  fairness,
  faults,
  'heavy-days': heavyDays,
  overload,
  path,
  poison,
  'rolling-restart': rollingRestart,
  slopes,
  spread,
  'store-outage': storeOutage,
  'take-out': takeOut,
  weights,
  'weights-scale': weightsScale,
};

/** The names of all benches. */
export const benchNames: readonly string[] = Object.keys(benches);
