package notch

// Sizes of the parts of commands, roughly as encoded.
const (
	commandSize = 128 // bytes of a command without lists and texts
	rowSize     = 128 // bytes of a row of a table
	itemSize    = 32  // bytes of an item of another list
)

// CommandSize estimates the encoded size of a command in bytes, at the cost of adding lengths.
func CommandSize(c Command) int {
	size := commandSize
	switch c := c.(type) {
	case ReplaceTables:
		size += len(c.Document) + rowSize*(len(c.Routes)+len(c.Pools))
	case EditTable:
		size += rowSize * (len(c.Routes) + len(c.Pools))
	case SubmitWorkflow:
		size += len(c.Flow.Spec) + rowSize*(1+len(c.Flow.Stages))
	case SubmitJob:
		size += rowSize
	case PlaceRuns:
		size += itemSize * len(c.Placements)
	case EndRuns:
		size += itemSize * (len(c.Ends) + len(c.Located))
	case PlaceTasks:
		size += itemSize * len(c.Placements)
	case ReportTasks:
		size += itemSize * len(c.Reports)
	}
	return size
}
