/** Wire form of a heartbeat that lists one task. */
export const wireHeartbeatWith = (task: object) => ({
  host: "i-1",
  address: "10.1.0.1:9000",
  build: "g8",
  site: "a",
  loaners: true,
  tenure: 1,
  tick: 5,
  baton: 7,
  pieces: [task],
})
