package fluid

// program is a linear program. It maximizes the total value of its variables, where each
// variable lies between 0 and its maximum and the use of each resource stays within the
// capacity of the resource.
type program struct {
	values, maxAmounts []float64
	// uses holds, for each resource, the use by one unit of each variable.
	uses       [][]float64
	capacities []float64
}

// epsilon is the difference below which two numbers count as equal.
const epsilon = 1e-9

// solve returns an optimal solution, found with the simplex method. Setting all variables
// to 0 is always feasible, so a solution exists.
func (p *program) solve() []float64 {
	variables, rows := len(p.values), len(p.capacities)+len(p.values)
	columns := variables + rows + 1
	table := make([][]float64, rows+1)
	basis := make([]int, rows)
	for i := range table {
		table[i] = make([]float64, columns)
	}
	for i := range rows {
		if i < len(p.capacities) {
			copy(table[i], p.uses[i])
			table[i][columns-1] = p.capacities[i]
		} else {
			table[i][i-len(p.capacities)] = 1
			table[i][columns-1] = p.maxAmounts[i-len(p.capacities)]
		}
		table[i][variables+i] = 1
		basis[i] = variables + i
	}
	for variable, value := range p.values {
		table[rows][variable] = -value
	}
	for {
		column := enteringColumn(table[rows][:columns-1])
		if column < 0 {
			break
		}
		row := leavingRow(table[:rows], basis, column)
		if row < 0 {
			break
		}
		pivot(table, row, column)
		basis[row] = column
	}
	amounts := make([]float64, variables)
	for i, column := range basis {
		if column < variables {
			amounts[column] = max(table[i][columns-1], 0)
		}
	}
	return amounts
}

// enteringColumn returns the first column that increases the objective, or -1. Choosing the
// first one (Bland's rule) prevents cycling.
func enteringColumn(objective []float64) int {
	for column, gain := range objective {
		if gain < -epsilon {
			return column
		}
	}
	return -1
}

// leavingRow returns the row with the smallest ratio for a column, or -1.
func leavingRow(rows [][]float64, basis []int, column int) int {
	best, least := -1, 0.0
	for i, row := range rows {
		if row[column] <= epsilon {
			continue
		}
		ratio := row[len(row)-1] / row[column]
		if best < 0 || ratio < least-epsilon || (ratio < least+epsilon && basis[i] < basis[best]) {
			best, least = i, ratio
		}
	}
	return best
}

func pivot(table [][]float64, row, column int) {
	factor := table[row][column]
	for i := range table[row] {
		table[row][i] /= factor
	}
	for i := range table {
		if i == row || table[i][column] == 0 {
			continue
		}
		factor := table[i][column]
		for j := range table[i] {
			table[i][j] -= factor * table[row][j]
		}
	}
}
