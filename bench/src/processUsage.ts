import { readFileSync } from 'node:fs';

const ticksPerSecond = 100;
const bytesPerMB = 1_048_576;
const bytesPerKB = 1_024;
/** Fields of /proc/PID/stat after the command name: user and system time. */
const userTimeField = 11;
const systemTimeField = 12;

/** CPU time that a process has used, in seconds. */
export function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) / ticksPerSecond;
}

/** Resident memory of a process, in MB. */
export function residentMB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return (kilobytes * bytesPerKB) / bytesPerMB;
}

/** Bytes that a process has read and written, sockets included. */
export function ioBytes(pid: number): number {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const read = Number(/rchar:\s+(\d+)/.exec(io)?.[1] ?? 0);
  const written = Number(/wchar:\s+(\d+)/.exec(io)?.[1] ?? 0);
  return read + written;
}
